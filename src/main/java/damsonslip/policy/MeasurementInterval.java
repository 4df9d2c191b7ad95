package damsonslip.policy;

/**
 * The time between two measurements of arrival rates, and how much its figures count.
 *
 * <p>At first all intervals count alike; later the weights make an exponential moving average.
 */
final class MeasurementInterval {
    /** Weight of a second in the arrival rates: about the last ten seconds count. */
    private static final double WEIGHT_PER_SECOND = 0.1;

    /** The same in rates that pools are sized by, which schedulers with few jobs must agree on. */
    private static final double STEADY_WEIGHT_PER_SECOND = 0.025;

    private static final double MICROS_PER_SECOND = 1e6;

    private long endUs;
    private double seconds;
    private double totalSeconds;
    private double weight;
    private double steadyWeight;

    /** Starts the first interval. */
    void start(long nowUs) {
        endUs = nowUs;
    }

    /** Ends the interval at hand, whose figures count from now on, and starts the next. */
    void end(long nowUs) {
        seconds = (nowUs - endUs) / MICROS_PER_SECOND;
        endUs = nowUs;
        totalSeconds += seconds;
        weight = Math.min(1, Math.max(WEIGHT_PER_SECOND, 1 / totalSeconds) * seconds);
        steadyWeight = Math.min(1, Math.max(STEADY_WEIGHT_PER_SECOND, 1 / totalSeconds) * seconds);
    }

    /** Length of the interval that ended last. */
    double seconds() {
        return seconds;
    }

    /** Weight of that interval in a rate that follows the traffic. */
    double weight() {
        return weight;
    }

    /** Weight of that interval in a rate that has to be steady. */
    double steadyWeight() {
        return steadyWeight;
    }
}
