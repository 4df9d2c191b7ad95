package damsonslip.policy.api;

/**
 * The figures of the four rules.
 *
 * @param responseGraceUs how long after the client's deadline a final answer still counts
 * @param drainGraceUs how soon sends to a draining worker must end
 * @param maxPollIntervalUs how often a list that is not watched has to be asked for at the least
 * @param slowStartShare the share of its capacity that a worker starts with
 * @param slowStartUs when it is warm
 * @param overloadFactor more than this multiple of its present capacity,
 * @param overloadWindowUs for this long, pushes a cold worker over
 */
public record Guarantees(
        long responseGraceUs,
        long drainGraceUs,
        long maxPollIntervalUs,
        double slowStartShare,
        long slowStartUs,
        double overloadFactor,
        long overloadWindowUs) {
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

    /** The worst share of its capacity that a worker may have at this age. */
    public double slowStartShareAt(long age) {
        return Math.min(1, slowStartShare + (1 - slowStartShare) * Math.max(0, age) / slowStartUs);
    }
}
