package damsonslip.membership;

import damsonslip.policy.api.ProbeResult;

/**
 * What a worker's own answers to probes allow while discovery, once heard, fails its calls and no
 * list of it holds.
 *
 * <p>A worker that drains answers a probe with 200 no more once discovery lists it as draining
 * (measured, see docs/incidents/2026-12-02-outages-and-service.md). So whoever gets that answer
 * cannot have been told of a drain before the probe was sent, and the grace of a drain cannot end
 * before the probe's time and the grace. Until then the worker may be sent to. A worker whose
 * connections failed since discovery was last heard may have been removed, or started anew and be
 * cold: only a list can tell. So it has to answer over a connection that has stood since.
 *
 * <p>All times are microseconds of the clock that the caller passes in. Not safe for use by several
 * threads.
 */
public final class WorkerLease {
    /** A worker that drains goes on to do so, and one that is overloaded needs time. */
    private static final long REFUSED_AGAIN_US = 1_000_000;

    /** A probe that this machine could not send says nothing of the worker. */
    private static final long UNSENT_AGAIN_US = 100_000;

    private static final long NEVER = Long.MIN_VALUE;

    private int outstanding;

    /**
     * When the oldest probe that is not answered yet was sent; which of several is answered cannot
     * be told.
     */
    private long probedAt = NEVER;

    private long validUntil = NEVER;
    private long nextProbeAt = NEVER;
    private long failedAt = NEVER;

    /** A probe is being sent. */
    public void probeSent(long nowUs) {
        if (outstanding++ == 0) {
            probedAt = nowUs;
        }
    }

    /**
     * A probe has ended.
     *
     * @param graceUs so long after the news of a drain the worker may still be sent to
     */
    public void probeEnded(ProbeResult result, long graceUs, long nowUs) {
        outstanding = Math.max(0, outstanding - 1);
        switch (result) {
            case HEALTHY -> {} // it may have been removed, or started anew, meanwhile
            case HEALTHY_THROUGHOUT -> {
                if (failedAt < probedAt) { // else the answer may be of the process before the break
                    validUntil = Math.max(validUntil, probedAt + graceUs);
                }
            }
            case UNHEALTHY -> {
                validUntil = NEVER;
                nextProbeAt = nowUs + REFUSED_AGAIN_US;
            }
            case UNREACHABLE, NO_LASTING_CONNECTION -> connectionFailed(nowUs);
            case NOT_SENT -> nextProbeAt = nowUs + UNSENT_AGAIN_US;
        }
    }

    /** A connection to the worker broke, or could not be had. */
    public void connectionFailed(long nowUs) {
        validUntil = NEVER;
        failedAt = nowUs;
    }

    /** Whether the worker may be sent to. */
    public boolean isValid(long nowUs) {
        return nowUs < validUntil;
    }

    /** Whether an answer to a probe is awaited. */
    public boolean isAwaited() {
        return outstanding > 0;
    }

    /**
     * Whether a job may wait for this worker: it may be sent to, or an answer to a probe may come
     * soon that says so.
     */
    public boolean isWorthAwaiting(long heardUs, long nowUs) {
        return isValid(nowUs)
                || isAwaited()
                || failedAt <= heardUs && nextProbeAt <= nowUs + UNSENT_AGAIN_US;
    }

    /** Whether a probe now may lead to a lease, where discovery was last heard then. */
    public boolean isWorthProbing(long heardUs, long nowUs) {
        return outstanding == 0 && nowUs >= nextProbeAt && failedAt <= heardUs;
    }
}
