package damsonslip.policy.api;

/**
 * A worker's load report; a missing figure is NaN.
 *
 * @param totalSlots number of all slots, which only workers that fetch jobs state
 * @param errorsPerSecond failed jobs a second at the worker, from all schedulers
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
