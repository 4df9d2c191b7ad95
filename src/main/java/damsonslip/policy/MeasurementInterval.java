package damsonslip.policy;

/**
 * The time between two measurements of arrival rates, and the weight of its figures in the mean.
 *
 * <p>At first the weights give the mean of all intervals, later an exponential moving average.
 */
final class MeasurementInterval {
    /** Weight of a second in the arrival rates: about the last ten seconds count. */
    private static final double WEIGHT_PER_SECOND = 0.1;

    /**
     * The same for the rates by which pools are sized: about the last 40 s count, since even
     * schedulers that receive few jobs have to agree on the sizes.
     */
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

    /** Ends the current interval, sets the length and weights from it, and starts the next. */
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

    /** Weight of the last interval in a rate that has to follow the traffic. */
    double weight() {
        return weight;
    }

    /** Weight of the last interval in a rate that has to be steady. */
    double steadyWeight() {
        return steadyWeight;
    }
}
