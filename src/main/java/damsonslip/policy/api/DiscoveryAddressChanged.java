package damsonslip.policy.api;

/**
 * The configured address of discovery has changed, or could not be read.
 *
 * @param reloadRequestedUs when the operator requested the reload of the configuration
 */
public record DiscoveryAddressChanged(DiscoveryAddressState state, long reloadRequestedUs)
        implements Event {}
