package damsonslip.tools.lab;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * CPU time of the calling thread, by what it was spent on; CPU, since other programs share the
 * machine.
 */
final class CpuTimes {
    /** What a scheduler spends time on. */
    enum Event {
        DECODE,
        LIST,
        DEAL,
        TIMER,
        ARRIVAL,
        OUTCOME
    }

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int SIGNIFICANT_DIGITS = 3;

    /**
     * Histograms of a fixed range, so that what they hold does not pass for the scheduler's own
     * heap.
     */
    private static final long MAX_NS = 60_000_000_000L;

    private final Map<Event, Histogram> times = new EnumMap<>(Event.class);

    CpuTimes() {
        clear();
    }

    /** Forgets what was measured, as after warming up. */
    void clear() {
        for (Event event : Event.values()) {
            times.put(event, new Histogram(1, MAX_NS, SIGNIFICANT_DIGITS));
        }
    }

    void time(Event event, Runnable work) {
        long before = THREADS.getCurrentThreadCpuTime();
        work.run();
        times.get(event).recordValue(Math.min(MAX_NS, THREADS.getCurrentThreadCpuTime() - before));
    }

    /** The middle one, in microseconds: collections of garbage and warming up fall on few. */
    double medianUs(Event event) {
        return times.get(event).getValueAtPercentile(50) / 1e3;
    }

    double percentileUs(Event event, double percentile) {
        return times.get(event).getValueAtPercentile(percentile) / 1e3;
    }

    double sumUs(Event event) {
        Histogram histogram = times.get(event);
        return histogram.getTotalCount() == 0
                ? 0
                : histogram.getMean() * histogram.getTotalCount() / 1e3;
    }
}
