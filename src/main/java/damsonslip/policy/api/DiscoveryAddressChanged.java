package damsonslip.policy.api;

/**
 * News of discovery's address; {@code sinceUs} is when the operators asked for the reload that
 * brought them.
 */
public record DiscoveryAddressChanged(DiscoveryAddressState state, long reloadRequestedUs)
        implements Event {}
