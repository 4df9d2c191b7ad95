package damsonslip.policy;

/** Estimates how many slots the workers of one kind have, from the free slots they report. */
final class SlotEstimator {
    /** Slots of a worker of which nothing is known yet: the cores of a common machine. */
    static final int DEFAULT_SLOTS = 4;

    /** The default holds at least until this many reports have come. */
    private static final int MIN_REPORTS_TO_DROP_DEFAULT = 50;

    /** A figure counts as the number of slots if this part of the reports reaches it. */
    private static final double REPORTED_QUANTILE = 0.02;

    /** A figure that fewer reports than this reach is noise. */
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

    /** Slots of a worker of this kind. */
    int slots() {
        return slots;
    }

    /** Slots as far as reports alone show them, at least 1. */
    int provenSlots() {
        return provenSlots;
    }
}
