package damsonslip.membership;

/**
 * How long the last worker list may be used. An open watch renews the lease without bound; once the
 * watch is lost, or discovery may have moved to another address, the lease runs out when a change
 * that the list lacks could count as known to everyone and its drain grace has passed.
 *
 * <p>All times are microseconds of the clock that the caller passes in. Not thread-safe.
 */
final class WorkerListLease {
    /** From SIGHUP until what a moved discovery tells counts as known (LATER, STANDING). */
    private static final long ADDRESS_CHANGE_PROPAGATION_US = 4_000_000;

    /**
     * The age of the cached list when the process begins: the platform starts a process again
     * within 1.5 s, and the program needs half a second.
     */
    private static final long RESTART_US = 2_000_000;

    /** The part of that before the program's own code runs. */
    private static final long LAUNCH_US = 1_700_000;

    private static final long UNBOUNDED = Long.MAX_VALUE;
    private static final long NOT_DEFERRED = Long.MIN_VALUE;

    private final long propagationUs;
    private final long graceUs;
    private long validUntilUs = UNBOUNDED;

    /** Bound since a move of discovery, until it sends its list from the new address. */
    private long addressChangeExpiryUs = UNBOUNDED;

    /** Bound since a reload whose configuration, which may name another address, is unread. */
    private long unreadableConfigurationExpiryUs = UNBOUNDED;

    /** Until then a process that starts waits for the answer to its first poll. */
    private long deferredUntilUs = NOT_DEFERRED;

    /**
     * Creates a lease without bound.
     *
     * @param propagationUs a change counts as known this long after discovery had it
     * @param graceUs a draining worker may be sent to for this long after its drain is known
     */
    WorkerListLease(long propagationUs, long graceUs) {
        this.propagationUs = propagationUs;
        this.graceUs = graceUs;
    }

    /** Begins with the list that the previous process cached. */
    void startWithCachedList(long nowUs) {
        long ageUs = Math.min(RESTART_US, propagationUs / 2);
        validUntilUs = expiryUs(nowUs) - ageUs;
        deferredUntilUs = nowUs + DiscoveryWatch.FIRST_LIST_TIMEOUT_US;
    }

    /** Shortens the lease of the cached list by the time since the process was launched. */
    void processLaunched(long launchedUs) {
        if (validUntilUs < UNBOUNDED) {
            long ageUs = Math.min(LAUNCH_US, propagationUs / 2);
            validUntilUs = Math.min(validUntilUs, expiryUs(launchedUs) - ageUs);
        }
    }

    /** Renews the lease without bound: the watch is open. */
    void renew() {
        deferredUntilUs = NOT_DEFERRED;
        validUntilUs = UNBOUNDED;
    }

    /** Bounds the lease after the loss of an open watch that last received something then. */
    void watchLost(long lastContactUs) {
        validUntilUs = expiryUs(lastContactUs);
    }

    /** Ends the wait for the first answer: its poll has failed. */
    void endDeferral() {
        deferredUntilUs = NOT_DEFERRED;
    }

    /** Extends the lease: until a poll sent then, discovery can have told nobody anything. */
    void extendPastOutage(long pollSentUs) {
        validUntilUs = Math.max(validUntilUs, expiryUs(pollSentUs));
        addressChangeExpiryUs = UNBOUNDED;
    }

    /** Bounds the lease to the grace: an update has arrived that cannot be read. */
    void updateUnreadable(long nowUs) {
        validUntilUs = Math.min(validUntilUs, nowUs + graceUs);
    }

    /** Bounds the lease after a reload requested then that moved discovery; the earliest counts. */
    void addressChanged(long reloadRequestedUs) {
        addressChangeExpiryUs = Math.min(addressChangeExpiryUs, reloadExpiryUs(reloadRequestedUs));
    }

    /** Lifts the bound of a move: discovery has sent its list from the new address. */
    void newAddressConfirmed() {
        addressChangeExpiryUs = UNBOUNDED;
    }

    /** Bounds the lease after a reload requested then whose configuration cannot be read. */
    void configurationUnreadable(long reloadRequestedUs) {
        unreadableConfigurationExpiryUs =
                Math.min(unreadableConfigurationExpiryUs, reloadExpiryUs(reloadRequestedUs));
    }

    /** Lifts the bound of an unread configuration. */
    void configurationRead() {
        unreadableConfigurationExpiryUs = UNBOUNDED;
    }

    /** Whether discovery may be at an address other than the one that sent the list. */
    boolean isAddressUncertain() {
        return addressChangeExpiryUs != UNBOUNDED || unreadableConfigurationExpiryUs != UNBOUNDED;
    }

    /** Whether the lease has not run out. */
    boolean isValid(long nowUs) {
        return nowUs < validUntilUs
                && nowUs < addressChangeExpiryUs
                && nowUs < unreadableConfigurationExpiryUs;
    }

    /** Whether use of the list is deferred until the first poll is answered. */
    boolean isDeferred(long nowUs) {
        return nowUs < deferredUntilUs;
    }

    private long expiryUs(long currentAtUs) {
        return currentAtUs + propagationUs + graceUs;
    }

    private long reloadExpiryUs(long reloadRequestedUs) {
        return reloadRequestedUs + ADDRESS_CHANGE_PROPAGATION_US + graceUs;
    }
}
