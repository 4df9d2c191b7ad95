package damsonslip.policy;

/**
 * The recent ratio of run times at one worker to the baseline of {@link RunTimeEstimator}.
 *
 * <p>Without new jobs the ratio decays to 1. Times are microseconds of the events' clock. Not safe
 * for use by several threads.
 */
final class RunTimeRatio {
    /**
     * Minimum weight of a job. The first few weigh more; the initial ratio of 1 counts as one job.
     */
    private static final double MIN_WEIGHT = 0.15;

    /** Upper limit of the ratio of a single job. */
    private static final double MAX_OBSERVED_RATIO = 6;

    /** Time constant of the decay to 1. */
    private static final double DECAY_US = 8e6;

    private double ratio = 1;
    private long observedAtUs;
    private int observed;

    /** Adds the ratio of a job's run time to the baseline. */
    void observe(double jobRatio, long nowUs) {
        double weight = Math.max(MIN_WEIGHT, 1.0 / (++observed + 1));
        ratio = at(nowUs) + weight * (Math.min(jobRatio, MAX_OBSERVED_RATIO) - at(nowUs));
        observedAtUs = nowUs;
    }

    /** Sets the ratio to 1, as after a restart of the worker. */
    void reset() {
        ratio = 1;
    }

    /** The ratio at this time. */
    double at(long nowUs) {
        return 1 + (ratio - 1) * Math.exp((observedAtUs - nowUs) / DECAY_US);
    }
}
