package damsonslip.policy;

/**
 * How many times as long as usual jobs take at one worker lately.
 *
 * <p>Without new jobs the ratio returns to 1. Times are microseconds of the events' clock. Not safe
 * for use by several threads.
 */
final class RunTimeRatio {
    /** Least weight of a job: the first few count more, beside the guess that all is as usual. */
    private static final double MIN_WEIGHT = 0.15;

    /** A single job counts for no more than this ratio. */
    private static final double MAX_OBSERVED_RATIO = 6;

    /** Time constant of the return to 1. */
    private static final double DECAY_US = 8e6;

    private double ratio = 1;
    private long observedAtUs;
    private int observed;

    /** Adds a job that took this many times as long as usual. */
    void observe(double jobRatio, long nowUs) {
        double weight = Math.max(MIN_WEIGHT, 1.0 / (++observed + 1));
        ratio = at(nowUs) + weight * (Math.min(jobRatio, MAX_OBSERVED_RATIO) - at(nowUs));
        observedAtUs = nowUs;
    }

    /** Returns to 1, as after a restart of the worker. */
    void reset() {
        ratio = 1;
    }

    /** The ratio at this time. */
    double at(long nowUs) {
        return 1 + (ratio - 1) * Math.exp((observedAtUs - nowUs) / DECAY_US);
    }
}
