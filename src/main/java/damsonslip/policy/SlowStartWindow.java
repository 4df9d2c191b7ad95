package damsonslip.policy;

/** The work that one warming-up worker was sent from here in the window of its budget at hand. */
final class SlowStartWindow {
    /** The window of a worker that is not warming up. */
    static final long NONE = -1;

    private long index = NONE;
    private double spentUs;

    /** Work sent in this window, microseconds of slots. */
    double spentUs(long window) {
        return index == window ? spentUs : 0;
    }

    /** Adds work sent in this window. */
    void spend(long window, double costUs) {
        spentUs = spentUs(window) + costUs;
        index = window;
    }

    /** Starts anew, as after a restart of the worker. */
    void reset() {
        index = NONE;
    }
}
