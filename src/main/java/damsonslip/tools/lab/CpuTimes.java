package damsonslip.tools.lab;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Histograms of CPU time of the calling thread per kind of event. CPU time is used instead of
 * elapsed time because other programs share the machine.
 */
final class CpuTimes {
    /** Kind of scheduler work that is timed. */
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
     * Upper bound of the histograms. The fixed range allocates them once, so that their growth is
     * not counted as the scheduler's heap.
     */
    private static final long MAX_NS = 60_000_000_000L;

    private final Map<Event, Histogram> times = new EnumMap<>(Event.class);

    CpuTimes() {
        clear();
    }

    /** Discards all recordings, for example those of a warm-up. */
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

    /**
     * Returns the median in microseconds, which is robust against the few recordings that include
     * garbage collection or JIT warm-up.
     */
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
