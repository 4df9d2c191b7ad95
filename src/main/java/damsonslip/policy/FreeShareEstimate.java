package damsonslip.policy;

/**
 * Estimates the share of free slots at a group of workers from the load reports of recent seconds.
 *
 * <p>Times are microseconds of the events' clock. Not safe for use by several threads.
 */
final class FreeShareEstimate {
    /**
     * Time constant of a report's weight. Short, because in a rolling restart the other workers
     * fill up within seconds.
     */
    private static final double DECAY_US = 10e6;

    /** The expected share counts as much as this many reports. */
    private static final double PRIOR_WEIGHT = 2;

    private double sum;
    private double weight;
    private long observedAtUs;

    /** Adds a share of free slots that a worker has reported. */
    void observe(double freeShare, long nowUs) {
        double remaining = remainingWeight(nowUs);
        sum = sum * remaining + freeShare;
        weight = weight * remaining + 1;
        observedAtUs = nowUs;
    }

    /** Returns the mean share; with few recent reports it is close to the expected share. */
    double share(double expected, long nowUs) {
        return (sum * remainingWeight(nowUs) + expected * PRIOR_WEIGHT)
                / (weight * remainingWeight(nowUs) + PRIOR_WEIGHT);
    }

    private double remainingWeight(long nowUs) {
        return weight == 0 ? 0 : Math.exp((observedAtUs - nowUs) / DECAY_US);
    }
}
