package damsonslip.membership;

import damsonslip.membership.WatchState.Event;

/**
 * The state of one scheduler's watch on discovery: when the next poll is due, and until when the
 * last worker list may be used.
 *
 * <p>This class keeps the connection's state ({@link WatchState}) and coordinates three parts:
 * {@link PollSchedule} (backoff and slots), {@link WorkerListLease} (how long the list is valid)
 * and {@link OutageDetector}. A list that discovery no longer confirms may name workers that drain.
 * It is used for as long as a change that it lacks cannot count as known yet, and no longer; see
 * the operators' page on drains (STANDING, "one clock for silence").
 *
 * <p>All times are microseconds of the clock that the caller passes in; {@code random} is uniform
 * in [0, 1). Not thread-safe.
 */
public final class DiscoveryWatch {
    /** How a poll or an open watch ended. */
    public enum Failure {
        /**
         * The poll was refused or timed out, or the open watch was reset: discovery was down or
         * overloaded.
         */
        FAILED,
        /** No connection to discovery came up: it cannot have sent any change meanwhile. */
        UNREACHABLE,
        /** The open watch received nothing for too long, though discovery may be healthy. */
        SILENT,
        /**
         * The poll never left this machine, which had no socket for it: nothing is known of
         * discovery.
         */
        NOT_SENT
    }

    /**
     * For this long a process that starts waits for the answer to its first poll before it uses the
     * list of the previous process. A job may wait longer.
     */
    public static final long FIRST_LIST_TIMEOUT_US = 1_500_000;

    /**
     * A change counts as known this long after discovery had it and could be reached (STANDING,
     * FLEET).
     */
    private static final long PROPAGATION_US = 6_000_000;

    /** Sends end this much before the drain grace does, since bytes need time to leave. */
    private static final long SEND_MARGIN_US = 150_000;

    /**
     * Workers may be probed instead for this long after the last contact with discovery: an outage
     * of 8 s (FLEET), and the time in which a fleet reaches discovery after it. The longer it
     * lasts, the more has changed that no worker can report.
     */
    private static final long PROBE_WORKERS_US = 20_000_000;

    private static final long NEVER = Long.MIN_VALUE;

    private final long graceUs;
    private final PollSchedule polls;
    private final WorkerListLease lease;
    private final OutageDetector outages = new OutageDetector();
    private WatchState state = WatchState.WAITING;
    private int schedulers;
    private long pollSentUs;

    /** When something was last read from the open watch that was lost last. */
    private long lastContactUs = NEVER;

    private long startedUs = NEVER;

    /** Whether a poll found no route to discovery since it last sent anything. */
    private boolean unreachable;

    /**
     * Creates a watch that has not been started; until {@link #start} its list may be used without
     * bound.
     *
     * @param schedulers how many schedulers share discovery, at least 1
     * @param index this scheduler's index among them, from 0
     * @param maxPollIntervalUs how often a list without a watch has to be polled at the least
     * @param drainGraceUs how long after a drain is known its worker may still be sent to
     */
    public DiscoveryWatch(int schedulers, int index, long maxPollIntervalUs, long drainGraceUs) {
        long propagationUs = Math.min(PROPAGATION_US, maxPollIntervalUs);
        this.graceUs = Math.max(0, drainGraceUs - SEND_MARGIN_US);
        this.polls = new PollSchedule(propagationUs, maxPollIntervalUs);
        this.lease = new WorkerListLease(propagationUs, graceUs);
        setFleet(schedulers, index);
    }

    /** Sets how many schedulers share discovery from now on, and this one's index among them. */
    public void setFleet(int schedulerCount, int schedulerIndex) {
        schedulers = schedulerCount;
        polls.setFleet(schedulerCount, schedulerIndex);
    }

    /**
     * Begins with the list that the previous process cached; returns when the first poll is due.
     */
    public long start(long nowUs, double random) {
        startedUs = nowUs;
        lease.startWithCachedList(nowUs);
        return polls.firstPollUs(nowUs, random);
    }

    /**
     * Records when the process was launched; a start may take long, and the cached list grows older
     * meanwhile. Has no effect before {@link #start}.
     */
    public void processLaunched(long launchedUs) {
        lease.processLaunched(launchedUs);
    }

    /**
     * Records that a reload, requested by the operators at that time, moved discovery to another
     * address; the earliest of several counts.
     */
    public void addressChanged(long reloadRequestedUs) {
        lease.addressChanged(reloadRequestedUs);
    }

    /** Records that discovery has sent its list from its new address. */
    public void newAddressConfirmed() {
        lease.newAddressConfirmed();
    }

    /**
     * Records that a reload was requested at that time and the configuration cannot be read:
     * discovery may have moved.
     */
    public void configurationUnreadable(long reloadRequestedUs) {
        lease.configurationUnreadable(reloadRequestedUs);
    }

    /** Records that the configuration was read, or rejected: discovery's address is known. */
    public void configurationRead() {
        lease.configurationRead();
    }

    /** Records that a poll was sent; has no effect while the watch is open. */
    public void pollSent(long nowUs) {
        state = state.after(Event.POLL_SENT);
        if (state == WatchState.POLLING) {
            pollSentUs = nowUs;
        }
    }

    /** Records a list, or changes, from discovery: the watch is open, and its list is current. */
    public void updateReceived() {
        state = state.after(Event.UPDATE_RECEIVED);
        unreachable = false;
        polls.reset();
        outages.reset();
        lease.renew();
    }

    /**
     * Records the end of a poll or of the open watch; returns when to poll again.
     *
     * @param lastReadUs when something was last read from the open watch
     */
    public long failed(Failure failure, long lastReadUs, long nowUs, double random) {
        boolean wasOpen = state == WatchState.OPEN;
        state = state.after(Event.ENDED);
        if (failure == Failure.NOT_SENT) {
            return polls.afterUnsentPollUs(nowUs, random);
        }
        lease.endDeferral();
        outages.failed(nowUs);
        return wasOpen
                ? openWatchLost(failure, lastReadUs, nowUs, random)
                : pollFailed(failure, nowUs, random);
    }

    private long openWatchLost(Failure failure, long lastReadUs, long nowUs, double random) {
        lastContactUs = lastReadUs;
        lease.watchLost(lastReadUs);
        return failure == Failure.SILENT
                ? polls.afterSilenceUs(nowUs, random)
                : polls.afterResetUs(nowUs, random);
    }

    private long pollFailed(Failure failure, long nowUs, double random) {
        unreachable |= failure == Failure.UNREACHABLE;
        if (failure == Failure.UNREACHABLE || outages.isLastingOutage(pollSentUs, schedulers)) {
            lease.extendPastOutage(pollSentUs);
        }
        return polls.afterFailedPollUs(pollSentUs, nowUs, random);
    }

    /**
     * Records an update that has arrived and cannot be read. Where lists are pushed, it counts as
     * known all the same, so the last list is valid for the drain grace and no longer.
     */
    public void updateUnreadable(long nowUs) {
        lease.updateUnreadable(nowUs);
    }

    /** Whether the last list is valid; if not, nothing may be sent until discovery sends one. */
    public boolean isValid(long nowUs) {
        return lease.isValid(nowUs);
    }

    /**
     * Whether a job may wait for a worker: the last list is valid, or the first poll of a process
     * that starts may bring one at any moment.
     */
    public boolean mayBecomeUsable(long nowUs) {
        return lease.isValid(nowUs) || lease.isDeferred(nowUs);
    }

    /**
     * Whether workers may be sent to by the last list now; a process that has just started waits
     * for the answer to its first poll.
     */
    public boolean isUsable(long nowUs) {
        return !lease.isDeferred(nowUs) && lease.isValid(nowUs);
    }

    /**
     * Returns when something was last read from the open watch that was lost last; the last list
     * has all changes until then.
     */
    public long lastContactUs() {
        return lastContactUs;
    }

    /**
     * Whether workers on the last list may be probed for whether they drain, as discovery fails its
     * polls. Not where discovery cannot be reached or may have moved: workers that it has removed
     * may still answer.
     */
    public boolean mayProbeWorkers(long nowUs) {
        boolean failing = state != WatchState.OPEN && !unreachable;
        return failing
                && !lease.isAddressUncertain()
                && nowUs < Math.max(lastContactUs, startedUs) + PROBE_WORKERS_US;
    }

    /** Whether an open watch of this process was lost, so that the list is not the cached one. */
    public boolean hasHadContact() {
        return lastContactUs != NEVER;
    }

    /**
     * Returns how long after a drain is known its worker may still be sent to, less the time that
     * bytes need to leave.
     */
    public long graceUs() {
        return graceUs;
    }
}
