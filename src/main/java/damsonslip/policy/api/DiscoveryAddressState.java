package damsonslip.policy.api;

/** What is known of discovery's address after the operators have asked for a reload. */
public enum DiscoveryAddressState {
    /** The configuration cannot be read at the moment, and may name another address. */
    UNREAD,
    /** The configuration was read, or refused for what it says. */
    READ,
    /** It names another address, where discovery has yet to tell its list. */
    MOVED,
    /** Discovery has told its list at its new address. */
    HEARD
}
