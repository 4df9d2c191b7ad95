package damsonslip.engine;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * How long the loop has made things wait: from when a task was handed to it, or was due, until it
 * began.
 */
public final class LoopLatency {
    /**
     * Waits beyond this count as this long; nothing that is still of use to anybody waits longer.
     */
    private static final long LONGEST_US = TimeUnit.SECONDS.toMicros(60);

    /** Two digits: a wait is told to one percent, in some 20 KB. */
    private static final int DIGITS = 2;

    private final Histogram all = new Histogram(LONGEST_US, DIGITS);

    void add(long us) {
        all.recordValue(Math.min(LONGEST_US, Math.max(0, us)));
    }

    public long count() {
        return all.getTotalCount();
    }

    /** So many percent have waited for no longer, in microseconds. */
    public long percentileUs(double percent) {
        return all.getValueAtPercentile(percent);
    }

    public long longestUs() {
        return all.getMaxValue();
    }
}
