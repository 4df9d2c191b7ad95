package damsonslip.policy.api;

/**
 * A worker's load report; a figure that it does not hold is NaN.
 *
 * @param totalSlots all slots, as stated by a worker that fetches jobs
 * @param errorsPerSecond jobs that failed there
 */
public record LoadReport(
        double freeSlots,
        double freeMemory,
        double reservedMemory,
        double totalSlots,
        double errorsPerSecond) {
    /** Creates a report without total slots and errors. */
    public LoadReport(double freeSlots, double freeMemory, double reservedMemory) {
        this(freeSlots, freeMemory, reservedMemory, Double.NaN, Double.NaN);
    }

    /** Creates a report of a worker that fetches jobs and states its slots. */
    public static LoadReport fromOfferedSlots(
            double freeSlots, double freeMemory, double reservedMemory, double totalSlots) {
        return new LoadReport(freeSlots, freeMemory, reservedMemory, totalSlots, Double.NaN);
    }
}
