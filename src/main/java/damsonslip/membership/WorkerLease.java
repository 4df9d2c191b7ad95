package damsonslip.membership;

import damsonslip.policy.api.ProbeResult;

/**
 * Whether one worker may be sent to by its own answers to probes, while discovery fails its polls
 * and its last list is no longer valid.
 *
 * <p>A worker that drains stops answering probes with 200 once discovery lists it as draining (see
 * docs/incidents/2026-12-02-outages-and-service.md). A worker that gives that answer cannot have
 * known of a drain before the probe was sent, so the drain's grace cannot end before the time of
 * the probe plus the grace. The lease lasts until then. A worker whose connections failed since the
 * last contact with discovery may have been removed, or restarted and be cold: only a list can
 * tell. So it has to answer over a connection that has been open since.
 *
 * <p>All times are microseconds of the clock that the caller passes in. Not thread-safe.
 */
public final class WorkerLease {
    /** Delay after an unhealthy answer: a drain lasts, and an overloaded worker needs time. */
    private static final long UNHEALTHY_RETRY_US = 1_000_000;

    /** Delay after a probe that this machine could not send, which says nothing of the worker. */
    private static final long UNSENT_RETRY_US = 100_000;

    private static final long NEVER = Long.MIN_VALUE;

    private int outstandingProbes;

    /**
     * When the oldest probe without an answer was sent; an answer does not show to which of several
     * probes it belongs.
     */
    private long oldestProbeUs = NEVER;

    private long validUntilUs = NEVER;
    private long nextProbeUs = NEVER;
    private long connectionFailedUs = NEVER;

    /** Records that a probe is being sent. */
    public void probeSent(long nowUs) {
        if (outstandingProbes == 0) {
            oldestProbeUs = nowUs;
        }
        outstandingProbes++;
    }

    /**
     * Records the result of a probe.
     *
     * @param graceUs how long after a drain is known the worker may still be sent to
     */
    public void probeEnded(ProbeResult result, long graceUs, long nowUs) {
        outstandingProbes = Math.max(0, outstandingProbes - 1);
        switch (result) {
            case HEALTHY -> {
                // does not extend the lease: the worker may have been removed or restarted
                // meanwhile
            }
            case HEALTHY_THROUGHOUT -> extend(graceUs);
            case UNHEALTHY -> {
                validUntilUs = NEVER;
                nextProbeUs = nowUs + UNHEALTHY_RETRY_US;
            }
            case UNREACHABLE, NO_LASTING_CONNECTION -> connectionFailed(nowUs);
            case NOT_SENT -> nextProbeUs = nowUs + UNSENT_RETRY_US;
        }
    }

    private void extend(long graceUs) {
        // an answer to a probe sent before the failure may come from the process before it
        if (connectionFailedUs < oldestProbeUs) {
            validUntilUs = Math.max(validUntilUs, oldestProbeUs + graceUs);
        }
    }

    /** Records that a connection to the worker broke, or could not be opened; ends the lease. */
    public void connectionFailed(long nowUs) {
        validUntilUs = NEVER;
        connectionFailedUs = nowUs;
    }

    /** Whether the lease is valid, so that the worker may be sent to. */
    public boolean isValid(long nowUs) {
        return nowUs < validUntilUs;
    }

    /** Whether a probe has not been answered yet. */
    public boolean isProbeOutstanding() {
        return outstandingProbes > 0;
    }

    /**
     * Whether a job may wait for this worker: its lease is valid, or a probe may soon make it so.
     *
     * @param lastContactUs when discovery last sent anything
     */
    public boolean mayBecomeValid(long lastContactUs, long nowUs) {
        boolean probeDueSoon = nextProbeUs <= nowUs + UNSENT_RETRY_US;
        return isValid(nowUs)
                || isProbeOutstanding()
                || (connectionFailedUs <= lastContactUs && probeDueSoon);
    }

    /**
     * Whether a probe that is sent now may lead to a lease.
     *
     * @param lastContactUs when discovery last sent anything
     */
    public boolean isWorthProbing(long lastContactUs, long nowUs) {
        return outstandingProbes == 0
                && nowUs >= nextProbeUs
                && connectionFailedUs <= lastContactUs;
    }
}
