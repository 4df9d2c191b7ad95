package damsonslip.policy.api;

/**
 * The figures of the guarantees that all schedulers have to keep: final answers in time, no sends
 * to draining workers, and slow start of workers.
 *
 * @param responseGraceUs how long after the client's deadline a final answer still counts
 * @param drainGraceUs how long after a drain is known the draining worker may still be sent to
 * @param maxPollIntervalUs longest time between two polls of a worker list that is not watched
 * @param slowStartShare share of its full capacity that a worker has at its start, above 0 and at
 *     most 1
 * @param slowStartUs time from its start until a worker has its full capacity
 * @param overloadFactor a worker that warms up is overloaded if it gets more work than this
 *     multiple of its current capacity during {@code overloadWindowUs}
 * @param overloadWindowUs length of the window for which work and capacity are compared
 */
public record Guarantees(
        long responseGraceUs,
        long drainGraceUs,
        long maxPollIntervalUs,
        double slowStartShare,
        long slowStartUs,
        double overloadFactor,
        long overloadWindowUs) {
    /** Checks the ranges of all figures. */
    public Guarantees {
        Requirements.require(responseGraceUs >= 0, "settings: grace to answer: " + responseGraceUs);
        Requirements.require(drainGraceUs >= 0, "settings: drain grace: " + drainGraceUs);
        Requirements.require(maxPollIntervalUs >= 0, "settings: ask every: " + maxPollIntervalUs);
        Requirements.require(
                slowStartShare > 0 && slowStartShare <= 1,
                "settings: cold share: " + slowStartShare);
        Requirements.require(slowStartUs >= 0, "settings: cold time: " + slowStartUs);
        Requirements.require(overloadFactor > 0, "settings: fall multiple: " + overloadFactor);
        Requirements.require(overloadWindowUs > 0, "settings: fall time: " + overloadWindowUs);
    }

    /**
     * Returns the minimum share of its full capacity that a worker has this long after its start.
     */
    public double slowStartShareAt(long ageUs) {
        return Math.min(
                1, slowStartShare + (1 - slowStartShare) * Math.max(0, ageUs) / slowStartUs);
    }
}
