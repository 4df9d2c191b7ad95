package damsonslip.policy.api;

/**
 * The figures of the four rules.
 *
 * @param answerGraceUs how long after the client's deadline a final answer still counts
 * @param drainGraceUs how soon sends to a draining worker must end
 * @param askEveryUs how often a list that is not watched has to be asked for at the least
 * @param coldShare the share of its capacity that a worker starts with
 * @param coldUs when it is warm
 * @param fallMultiple more than this multiple of its present capacity,
 * @param fallUs for this long, pushes a cold worker over
 */
public record Guarantees(
        long answerGraceUs,
        long drainGraceUs,
        long askEveryUs,
        double coldShare,
        long coldUs,
        double fallMultiple,
        long fallUs) {
    public Guarantees {
        Requirements.require(answerGraceUs >= 0, "settings: grace to answer: " + answerGraceUs);
        Requirements.require(drainGraceUs >= 0, "settings: drain grace: " + drainGraceUs);
        Requirements.require(askEveryUs >= 0, "settings: ask every: " + askEveryUs);
        Requirements.require(coldShare > 0 && coldShare <= 1, "settings: cold share: " + coldShare);
        Requirements.require(coldUs >= 0, "settings: cold time: " + coldUs);
        Requirements.require(fallMultiple > 0, "settings: fall multiple: " + fallMultiple);
        Requirements.require(fallUs > 0, "settings: fall time: " + fallUs);
    }

    /** The worst share of its capacity that a worker may have at this age. */
    public double warmth(long age) {
        return Math.min(1, coldShare + (1 - coldShare) * Math.max(0, age) / coldUs);
    }
}
