package damsonslip.policy.api;

/** What is known of discovery's address after a requested reload. */
public enum DiscoveryAddressState {
    /** The configuration cannot be read at the moment, and may name another address. */
    UNREADABLE,
    /** The configuration was read, or refused for what it says. */
    READ,
    /** It names another address, which has not sent a worker list yet. */
    MOVED,
    /** The new address has sent a worker list. */
    CONFIRMED
}
