package damsonslip.membership;

import damsonslip.membership.WatchState.Event;

/**
 * The state of one scheduler's watch on discovery: when the next poll is due, and until when the
 * last worker list may be used.
 *
 * <p>This class keeps the connection's state ({@link WatchState}) and coordinates three parts:
 * {@link PollSchedule} (backoff and slots), {@link WorkerListLease} (how long the list is valid)
 * and {@link OutageDetector}. A list that discovery no longer confirms may contain workers that are
 * draining by now. It is used only until the earliest time at which every scheduler is expected to
 * know a change that the list lacks, plus the drain grace (STANDING, "one clock for silence").
 *
 * <p>All times are microseconds of the clock that the caller passes in; {@code random} is uniform
 * in [0, 1). Not thread-safe.
 */
public final class DiscoveryWatch {
    /** How a poll or an open watch ended. */
    public enum Failure {
        /**
         * The poll was rejected or timed out, or the open watch was reset: discovery is down or
         * overloaded.
         */
        FAILED,
        /** No connection to discovery could be opened: it cannot have sent any change meanwhile. */
        UNREACHABLE,
        /** The open watch received nothing for too long, though discovery may be healthy. */
        SILENT,
        /**
         * The poll was never sent, because this machine had no free socket: it says nothing about
         * discovery.
         */
        NOT_SENT
    }

    /**
     * How long a starting process waits for the response to its first poll before it uses the list
     * cached by the previous process. The timeout of a job may be longer.
     */
    public static final long FIRST_LIST_TIMEOUT_US = 1_500_000;

    /**
     * Every scheduler is expected to know a change this long after discovery had it and could be
     * reached (STANDING, FLEET).
     */
    private static final long PROPAGATION_US = 6_000_000;

    /**
     * Sending stops this long before the end of the drain grace, to allow for the time until the
     * bytes leave this machine.
     */
    private static final long SEND_MARGIN_US = 150_000;

    /**
     * How long after the last contact with discovery workers may be probed instead. It covers an
     * outage of 8 s (FLEET) and the time in which the schedulers reconnect to discovery after it.
     * It is bounded because, the longer an outage lasts, the more has changed that no worker can
     * report.
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

    /** When the most recently lost watch last received data. */
    private long lastContactUs = NEVER;

    private long startedUs = NEVER;

    /** Whether a poll has failed to connect to discovery since the last update from it. */
    private boolean unreachable;

    /**
     * Creates a watch that has not been started; until {@link #start} its list is valid without
     * limit.
     *
     * @param schedulers how many schedulers share discovery, at least 1
     * @param index this scheduler's index among them, from 0
     * @param maxPollIntervalUs the longest interval between polls where discovery offers no watch
     * @param drainGraceUs how long jobs may still be sent to a worker after its drain became known
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
     * Starts with the list that the previous process cached; returns when the first poll is due.
     */
    public long start(long nowUs, double random) {
        startedUs = nowUs;
        lease.startWithCachedList(nowUs);
        return polls.firstPollUs(nowUs, random);
    }

    /**
     * Records when the process was launched: the cached list ages during a slow start. Has no
     * effect before {@link #start}.
     */
    public void processLaunched(long launchedUs) {
        lease.processLaunched(launchedUs);
    }

    /**
     * Records that a configuration reload, requested at the given time, changed the address of
     * discovery. Of several, the earliest one applies.
     */
    public void addressChanged(long reloadRequestedUs) {
        lease.addressChanged(reloadRequestedUs);
    }

    /** Records that a list was received from the new address of discovery. */
    public void newAddressConfirmed() {
        lease.newAddressConfirmed();
    }

    /**
     * Records that a reload was requested at the given time and the configuration cannot be read:
     * the address of discovery may have changed.
     */
    public void configurationUnreadable(long reloadRequestedUs) {
        lease.configurationUnreadable(reloadRequestedUs);
    }

    /**
     * Records that the configuration was read or rejected, so the address of discovery is known.
     */
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

    /**
     * Records a list or changes received from discovery: the watch is open and the list is current.
     */
    public void updateReceived() {
        state = state.after(Event.UPDATE_RECEIVED);
        unreachable = false;
        polls.reset();
        outages.reset();
        lease.renew();
    }

    /**
     * Records that a poll or the open watch failed; returns when to poll again.
     *
     * @param lastReadUs when the open watch last received data
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
     * Records that an update was received but cannot be parsed. Where lists are pushed, the change
     * in it counts as known from then on, so the last list stays valid for the drain grace at most.
     */
    public void updateUnreadable(long nowUs) {
        lease.updateUnreadable(nowUs);
    }

    /**
     * Whether the last list is valid; if not, no job may be sent by it until discovery sends a new
     * one.
     */
    public boolean isValid(long nowUs) {
        return lease.isValid(nowUs);
    }

    /**
     * Whether a job may wait for a worker: the last list is valid, or this process has just started
     * and its first poll may return a list at any moment.
     */
    public boolean mayBecomeUsable(long nowUs) {
        return lease.isValid(nowUs) || lease.isDeferred(nowUs);
    }

    /**
     * Whether jobs may be sent by the last list now; a process that has just started first waits
     * for the response to its first poll.
     */
    public boolean isUsable(long nowUs) {
        return !lease.isDeferred(nowUs) && lease.isValid(nowUs);
    }

    /**
     * Returns when the most recently lost watch last received data; the last list contains all
     * changes up to that time.
     */
    public long lastContactUs() {
        return lastContactUs;
    }

    /**
     * Whether workers on the last list may be probed for whether they are draining, because polls
     * of discovery fail. Not if discovery is unreachable or its address may have changed: workers
     * that it has removed may still respond.
     */
    public boolean mayProbeWorkers(long nowUs) {
        boolean failing = state != WatchState.OPEN && !unreachable;
        return failing
                && !lease.isAddressUncertain()
                && nowUs < Math.max(lastContactUs, startedUs) + PROBE_WORKERS_US;
    }

    /** Whether this process has lost an open watch, so that its last list is not the cached one. */
    public boolean hasHadContact() {
        return lastContactUs != NEVER;
    }

    /**
     * Returns how long jobs may still be sent to a worker after its drain became known, less the
     * margin for the bytes to leave this machine.
     */
    public long graceUs() {
        return graceUs;
    }
}
