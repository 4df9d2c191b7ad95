package damsonslip.policy;

import damsonslip.policy.api.LoadReport;

/**
 * The load of one worker: own slots in use, which are known exactly, and the load from the other
 * schedulers as the worker's reports show it.
 *
 * <p>Times are microseconds of the events' clock. Not safe for use by several threads.
 */
final class WorkerLoad {
    /**
     * Time constant of the mean of own slots in use: about the age of a report that did not come
     * from a probe.
     */
    private static final double OWN_MEAN_US = 1e6;

    /** Time constant of the mean of the others' slots in use. */
    private static final double OTHERS_MEAN_US = 500e3;

    private double statedTotalSlots = Double.NaN;
    private int ownSlots;
    private double ownSlotsMean;
    private long ownSlotsChangedUs;
    private double othersSlots;
    private double reportedFreeSlots = Double.NaN;
    private double reportedFreeMemory = Double.NaN;
    private long reportedUs;
    private boolean probedReport;
    private double reservedMemory;

    /** Records the number of slots that the worker states, if it is above 0. */
    void stateTotalSlots(double totalSlots) {
        if (totalSlots > 0) {
            statedTotalSlots = totalSlots;
        }
    }

    /** Whether the worker states how many slots it has, as one that fetches jobs does. */
    boolean statesTotalSlots() {
        return statedTotalSlots > 0;
    }

    /** The number of slots that the worker states, or NaN. */
    double statedTotalSlots() {
        return statedTotalSlots;
    }

    /** Own slots in use. */
    int ownSlots() {
        return ownSlots;
    }

    /** Slots that the other schedulers use, as far as the reports show. */
    double othersSlots() {
        return othersSlots;
    }

    /** Whether a report of free slots is known. */
    boolean hasReport() {
        return !Double.isNaN(reportedFreeSlots);
    }

    /** When the last report came; 0 if none has. */
    long reportedUs() {
        return reportedUs;
    }

    /** Whether the worker is known to have less free memory than this. */
    boolean lacksMemory(double memory) {
        return reportedFreeMemory - reservedMemory < memory;
    }

    /** Records that own slots in use change by this number. */
    void changeOwnSlots(int change, long nowUs) {
        double weight = 1 - Math.exp((ownSlotsChangedUs - nowUs) / OWN_MEAN_US);
        ownSlotsMean += (ownSlots - ownSlotsMean) * weight;
        ownSlotsChangedUs = nowUs;
        ownSlots += change;
    }

    /** Reserves memory for a job that is sent. */
    void reserveMemory(double memory) {
        reservedMemory += memory;
    }

    /** Releases the memory of a job that has ended. */
    void releaseMemory(double memory) {
        reservedMemory = Math.max(0, reservedMemory - memory);
    }

    /**
     * Learns from a report. One from a probe is current, so it is compared with the present number
     * of own slots. Any other is about {@link #OWN_MEAN_US} old, so it is compared with their mean.
     *
     * @param unreportedMemory memory of own jobs that the report may lack
     */
    void acceptReport(
            LoadReport report,
            double totalSlots,
            boolean probed,
            double unreportedMemory,
            long nowUs) {
        double free = Math.max(0, report.freeSlots());
        changeOwnSlots(0, nowUs);
        probedReport = probed;
        double others = Math.max(0, totalSlots - free - (probed ? ownSlots : ownSlotsMean));
        double ageUs = probed || !hasReport() ? Double.MAX_VALUE : nowUs - reportedUs;
        double weight = 1 - Math.exp(-ageUs / OTHERS_MEAN_US);
        othersSlots += weight * (others - othersSlots);
        reportedFreeSlots = free;
        reportedFreeMemory = report.freeMemory();
        reportedUs = nowUs;
        reservedMemory = unreportedMemory;
    }

    /**
     * Records that an own job has ended. If the last report came from a probe, the job's slots
     * count as used by others until the next report.
     */
    void ownSlotsEnded(int slots, long nowUs) {
        changeOwnSlots(-slots, nowUs);
        othersSlots += probedReport ? slots : 0;
    }

    /** Records that all slots are in use. */
    void recordFull(double totalSlots, long nowUs) {
        othersSlots = totalSlots - ownSlots;
        reportedFreeSlots = 0;
        reportedUs = nowUs;
    }

    /** Drops the report of free slots. */
    void forgetReport() {
        reportedFreeSlots = Double.NaN;
    }
}
