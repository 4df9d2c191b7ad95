package damsonslip.membership;

/**
 * How long the last worker list may be used. While the watch is open, the lease has no limit. Once
 * the watch is lost, or the address of discovery may have changed, the lease expires when every
 * scheduler is expected to know a change that the list lacks and the drain grace of that change has
 * passed.
 *
 * <p>All times are microseconds of the clock that the caller passes in. Not thread-safe.
 */
final class WorkerListLease {
    /**
     * From SIGHUP until changes from the new address of discovery count as known (LATER, STANDING).
     */
    private static final long ADDRESS_CHANGE_PROPAGATION_US = 4_000_000;

    /**
     * Assumed age of the cached list when the watch starts: the platform restarts a process within
     * 1.5 s, and the program needs half a second to start.
     */
    private static final long RESTART_US = 2_000_000;

    /** The part of {@link #RESTART_US} before the program's own code runs. */
    private static final long LAUNCH_US = 1_700_000;

    private static final long UNBOUNDED = Long.MAX_VALUE;
    private static final long NOT_DEFERRED = Long.MIN_VALUE;

    private final long propagationUs;
    private final long graceUs;
    private long validUntilUs = UNBOUNDED;

    /**
     * Expiry after a change of discovery's address, until a list is received from the new address.
     */
    private long addressChangeExpiryUs = UNBOUNDED;

    /**
     * Expiry after a reload whose configuration, which may contain another address, could not be
     * read.
     */
    private long unreadableConfigurationExpiryUs = UNBOUNDED;

    /** Until when a starting process waits for the response to its first poll. */
    private long deferredUntilUs = NOT_DEFERRED;

    /**
     * Creates a lease without limit.
     *
     * @param propagationUs how long after discovery had a change it counts as known
     * @param graceUs how long jobs may still be sent to a worker after its drain became known
     */
    WorkerListLease(long propagationUs, long graceUs) {
        this.propagationUs = propagationUs;
        this.graceUs = graceUs;
    }

    /** Starts with the list that the previous process cached. */
    void startWithCachedList(long nowUs) {
        long ageUs = Math.min(RESTART_US, propagationUs / 2);
        validUntilUs = expiryUs(nowUs) - ageUs;
        deferredUntilUs = nowUs + DiscoveryWatch.FIRST_LIST_TIMEOUT_US;
    }

    /** Shortens the lease of the cached list to one that counts from the launch of the process. */
    void processLaunched(long launchedUs) {
        if (validUntilUs < UNBOUNDED) {
            long ageUs = Math.min(LAUNCH_US, propagationUs / 2);
            validUntilUs = Math.min(validUntilUs, expiryUs(launchedUs) - ageUs);
        }
    }

    /** Renews the lease without limit: the watch is open. */
    void renew() {
        deferredUntilUs = NOT_DEFERRED;
        validUntilUs = UNBOUNDED;
    }

    /**
     * Limits the lease after the loss of an open watch that last received data at the given time.
     */
    void watchLost(long lastContactUs) {
        validUntilUs = expiryUs(lastContactUs);
    }

    /** Ends the wait for the response to the first poll, which has failed. */
    void endDeferral() {
        deferredUntilUs = NOT_DEFERRED;
    }

    /**
     * Extends the lease: until the poll sent at the given time, discovery cannot have sent a change
     * to any scheduler.
     */
    void extendPastOutage(long pollSentUs) {
        validUntilUs = Math.max(validUntilUs, expiryUs(pollSentUs));
        addressChangeExpiryUs = UNBOUNDED;
    }

    /** Limits the lease to the grace: an update was received that cannot be parsed. */
    void updateUnreadable(long nowUs) {
        validUntilUs = Math.min(validUntilUs, nowUs + graceUs);
    }

    /**
     * Limits the lease after a reload, requested at the given time, that changed the address of
     * discovery. Of several, the earliest one applies.
     */
    void addressChanged(long reloadRequestedUs) {
        addressChangeExpiryUs = Math.min(addressChangeExpiryUs, reloadExpiryUs(reloadRequestedUs));
    }

    /** Removes the limit of {@link #addressChanged}: a list was received from the new address. */
    void newAddressConfirmed() {
        addressChangeExpiryUs = UNBOUNDED;
    }

    /**
     * Limits the lease after a reload, requested at the given time, whose configuration cannot be
     * read.
     */
    void configurationUnreadable(long reloadRequestedUs) {
        unreadableConfigurationExpiryUs =
                Math.min(unreadableConfigurationExpiryUs, reloadExpiryUs(reloadRequestedUs));
    }

    /** Removes the limit of {@link #configurationUnreadable}. */
    void configurationRead() {
        unreadableConfigurationExpiryUs = UNBOUNDED;
    }

    /** Whether the address of discovery may differ from the one that the list came from. */
    boolean isAddressUncertain() {
        return addressChangeExpiryUs != UNBOUNDED || unreadableConfigurationExpiryUs != UNBOUNDED;
    }

    /** Whether the lease has not expired. */
    boolean isValid(long nowUs) {
        return nowUs < validUntilUs
                && nowUs < addressChangeExpiryUs
                && nowUs < unreadableConfigurationExpiryUs;
    }

    /** Whether use of the list is deferred until the first poll ends. */
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
