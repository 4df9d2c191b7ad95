package damsonslip.policy.api;

/**
 * A load report; a figure that it does not hold is NaN. {@code slots} are all that the worker has,
 * as a worker tells that offers them by itself; {@code errors} are those a second.
 */
public record LoadReport(
        double freeSlots,
        double freeMemory,
        double reservedMemory,
        double totalSlots,
        double errorsPerSecond) {
    public LoadReport(double freeSlots, double freeMemory, double held) {
        this(freeSlots, freeMemory, held, Double.NaN, Double.NaN);
    }

    /** A report of a worker that offers its slots by itself. */
    public static LoadReport fromOfferedSlots(
            double freeSlots, double freeMemory, double held, double slots) {
        return new LoadReport(freeSlots, freeMemory, held, slots, Double.NaN);
    }
}
