package damsonslip.policy;

/**
 * The work that this scheduler has sent to one worker in the latest window of the worker's
 * slow-start budget in which it sent any.
 */
final class SlowStartWindow {
    /** Window index for a worker that is not warming up. */
    static final long NONE = -1;

    private long index = NONE;
    private double spentUs;

    /** Work sent in the window with this index, in slot-microseconds. */
    double spentUs(long window) {
        return index == window ? spentUs : 0;
    }

    /** Adds work sent in the window with this index. */
    void spend(long window, double costUs) {
        spentUs = spentUs(window) + costUs;
        index = window;
    }

    /** Drops the recorded work, as after a restart of the worker. */
    void reset() {
        index = NONE;
    }
}
