package damsonslip.policy.api;

/** What is known of discovery's address after a requested reload of the configuration. */
public enum DiscoveryAddressState {
    /** The configuration cannot be read at the moment; it may name another address. */
    UNREADABLE,
    /** The configuration was read, or was rejected because of its content. */
    READ,
    /** The configuration names another address, which has not sent a worker list yet. */
    MOVED,
    /** The new address has sent a worker list. */
    CONFIRMED
}
