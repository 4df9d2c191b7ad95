package damsonslip.policy.api;

/**
 * A load report; a figure that it does not hold is NaN. {@code slots} are all that the worker has,
 * as a worker tells that offers them by itself; {@code errors} are those a second.
 */
public record Report(
        double freeSlots, double freeMemory, double held, double slots, double errors) {
    public Report(double freeSlots, double freeMemory, double held) {
        this(freeSlots, freeMemory, held, Double.NaN, Double.NaN);
    }

    /** A report of a worker that offers its slots by itself. */
    public static Report offered(double freeSlots, double freeMemory, double held, double slots) {
        return new Report(freeSlots, freeMemory, held, slots, Double.NaN);
    }
}
