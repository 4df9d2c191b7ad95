package damsonslip.engine;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * A histogram of how long tasks waited for the {@link EventLoop}: from when a task was submitted,
 * or was due, until it started.
 *
 * <p>Used on the loop only; times are in microseconds.
 */
public final class LoopLatency {
    /** Longer waits are recorded as this value. */
    private static final long MAX_RECORDED_US = TimeUnit.SECONDS.toMicros(60);

    /** A resolution of one percent, which takes about 20 KB. */
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Histogram histogram = new Histogram(MAX_RECORDED_US, SIGNIFICANT_DIGITS);

    void add(long waitUs) {
        histogram.recordValue(Math.min(MAX_RECORDED_US, Math.max(0, waitUs)));
    }

    /** Returns the number of tasks. */
    public long count() {
        return histogram.getTotalCount();
    }

    /** Returns the wait that this percentage of the tasks did not exceed. */
    public long percentileUs(double percent) {
        return histogram.getValueAtPercentile(percent);
    }

    /** Returns the longest wait. */
    public long maxUs() {
        return histogram.getMaxValue();
    }
}
