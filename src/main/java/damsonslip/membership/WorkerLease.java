package damsonslip.membership;

import damsonslip.policy.api.ProbeResult;

/**
 * Whether jobs may be sent to one worker on the strength of its own responses to probes, while
 * polls of discovery fail and the last list is no longer valid.
 *
 * <p>A draining worker stops answering probes with 200 once discovery lists it as draining (see
 * docs/incidents/2026-12-02-outages-and-service.md). A worker that answers 200 cannot have known of
 * a drain before the probe was sent, so the drain's grace cannot end before the time at which the
 * probe was sent plus the grace. The lease lasts until then. A worker whose connections have failed
 * since the last contact with discovery may have been removed, or may have restarted and be warming
 * up, which only a list can show. So the worker has to respond over a connection that has been open
 * since that contact.
 *
 * <p>All times are microseconds of the clock that the caller passes in. Not thread-safe.
 */
public final class WorkerLease {
    /**
     * Delay after an unhealthy response: a drain is lasting, and an overloaded worker needs time to
     * recover.
     */
    private static final long UNHEALTHY_RETRY_US = 1_000_000;

    /**
     * Delay after a probe that this machine could not send, which says nothing about the worker.
     */
    private static final long UNSENT_RETRY_US = 100_000;

    private static final long NEVER = Long.MIN_VALUE;

    private int outstandingProbes;

    /**
     * When the oldest outstanding probe was sent; a response does not show which of several probes
     * it answers.
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
     * @param graceUs how long jobs may still be sent to the worker after a drain became known
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
        // a response to a probe sent before the failure may come from the worker's previous process
        if (connectionFailedUs < oldestProbeUs) {
            validUntilUs = Math.max(validUntilUs, oldestProbeUs + graceUs);
        }
    }

    /** Records that a connection to the worker was lost or could not be opened; ends the lease. */
    public void connectionFailed(long nowUs) {
        validUntilUs = NEVER;
        connectionFailedUs = nowUs;
    }

    /** Whether the lease is valid, so that jobs may be sent to the worker. */
    public boolean isValid(long nowUs) {
        return nowUs < validUntilUs;
    }

    /** Whether a probe is outstanding. */
    public boolean isProbeOutstanding() {
        return outstandingProbes > 0;
    }

    /**
     * Whether a job may wait for this worker: its lease is valid, or a probe may soon grant one.
     *
     * @param lastContactUs when data was last received from discovery
     */
    public boolean mayBecomeValid(long lastContactUs, long nowUs) {
        boolean probeDueSoon = nextProbeUs <= nowUs + UNSENT_RETRY_US;
        return isValid(nowUs)
                || isProbeOutstanding()
                || (connectionFailedUs <= lastContactUs && probeDueSoon);
    }

    /**
     * Whether a probe sent now may grant a lease.
     *
     * @param lastContactUs when data was last received from discovery
     */
    public boolean isWorthProbing(long lastContactUs, long nowUs) {
        return outstandingProbes == 0
                && nowUs >= nextProbeUs
                && connectionFailedUs <= lastContactUs;
    }
}
