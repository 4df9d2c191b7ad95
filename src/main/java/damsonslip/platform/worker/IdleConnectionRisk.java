package damsonslip.platform.worker;

/**
 * Estimates how likely an idle connection is to break during its next request, by its idle time.
 * Workers, or network elements in between, may drop idle connections long before the limit in the
 * settings and without notice. Such a connection still looks open, and it cannot be proved that a
 * request that is written to it has not run. Used on the event loop only.
 */
final class IdleConnectionRisk {
    /** The upper bound of the first bucket of idle times; it doubles with each further bucket. */
    private static final long FIRST_BUCKET_US = 25_000;

    private static final int BUCKETS = 11;

    /** Weight of the newest observation in the moving average. */
    private static final double SMOOTHING = 0.1;

    /**
     * Fraction by which the estimates decay at each step, so that a rejected idle time is tried
     * again.
     */
    private static final double DECAY = 0.015;

    /** For a request that must not run twice: losing it costs more than a new connection. */
    private static final double MAX_RISK_NOT_IDEMPOTENT = 0.015;

    private static final double MAX_RISK = 0.12;

    private final double[] breakRates = new double[BUCKETS];

    private static int bucket(long idleUs) {
        int bucket = 0;
        while (bucket < BUCKETS - 1 && idleUs > FIRST_BUCKET_US << bucket) {
            bucket++;
        }
        return bucket;
    }

    /**
     * Records whether a connection that had been idle for this long broke during its next request.
     */
    void record(long idleUs, boolean broke) {
        int bucket = bucket(idleUs);
        breakRates[bucket] += SMOOTHING * ((broke ? 1 : 0) - breakRates[bucket]);
    }

    /**
     * Whether a connection that has been idle for this long may be used. One that has been idle for
     * longer is taken to be at least as risky.
     */
    boolean isAcceptable(long idleUs, boolean idempotent) {
        double risk = 0;
        for (int bucket = 0; bucket <= bucket(idleUs); bucket++) {
            risk = Math.max(risk, breakRates[bucket]);
        }
        return risk <= (idempotent ? MAX_RISK : MAX_RISK_NOT_IDEMPOTENT);
    }

    /** Decays the estimates; called every half second. */
    void decay() {
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            breakRates[bucket] *= 1 - DECAY;
        }
    }
}
