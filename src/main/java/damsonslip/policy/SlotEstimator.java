package damsonslip.policy;

/** Estimates how many slots the workers of one kind have, from the free slots they report. */
final class SlotEstimator {
    /** Assumed slots of a worker of which nothing is known yet: the cores of a common machine. */
    static final int DEFAULT_SLOTS = 4;

    /** The estimate is not below the default until this many reports have been received. */
    private static final int MIN_REPORTS_TO_DROP_DEFAULT = 50;

    /**
     * The estimate is the highest number of free slots that this fraction of the reports reaches.
     */
    private static final double REPORTED_QUANTILE = 0.02;

    /** A number that fewer reports than this reach is taken for noise. */
    private static final int MIN_REPORTS = 2;

    private static final int MAX_SLOTS = 63;

    /** Reports by rounded free slots; index 0 counts all reports. */
    private final int[] reports = new int[MAX_SLOTS + 1];

    private int provenSlots = 1;
    private int slots = DEFAULT_SLOTS;

    /** Adds a report of free slots. */
    void observe(double freeSlots) {
        int rounded = Math.min(MAX_SLOTS, (int) Math.round(freeSlots));
        reports[0]++;
        if (rounded > 0) {
            reports[rounded]++;
        }
        double needed = Math.max(MIN_REPORTS, REPORTED_QUANTILE * reports[0]);
        int reaching = 0;
        int candidate = MAX_SLOTS;
        while (candidate > 1 && (reaching += reports[candidate]) < needed) {
            candidate--;
        }
        provenSlots = candidate;
        slots = Math.max(candidate, reports[0] < MIN_REPORTS_TO_DROP_DEFAULT ? DEFAULT_SLOTS : 1);
    }

    /** Estimated slots of a worker of this kind. */
    int slots() {
        return slots;
    }

    /** Estimate from reports alone, without the default; at least 1. */
    int provenSlots() {
        return provenSlots;
    }
}
