package damsonslip.tools.lab.soak;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Records stalls of the soak's own process. Times recorded by its clients and workers during a
 * stall are late by up to its length.
 */
final class StallMonitor {
    private static final long TICK_US = 5 * Clock.MILLISECOND;
    private static final long MIN_STALL_US = 10 * Clock.MILLISECOND;

    private record Stall(long atUs, long lateUs) {}

    private final Queue<Stall> stalls = new ConcurrentLinkedQueue<>();
    private final Thread ticker = Threads.start("stall-monitor", this::tick);

    private void tick() throws InterruptedException {
        while (true) {
            long dueUs = Clock.nowUs() + TICK_US;
            Clock.sleepUs(TICK_US);
            long lateUs = Clock.nowUs() - dueUs;
            if (lateUs > MIN_STALL_US) {
                stalls.add(new Stall(dueUs + lateUs, lateUs));
            }
        }
    }

    /** The longest stall that overlaps this span. */
    long longestUs(long fromUs, long toUs) {
        return stalls.stream()
                .filter(one -> one.atUs() >= fromUs && one.atUs() - one.lateUs() <= toUs)
                .mapToLong(Stall::lateUs)
                .max()
                .orElse(0);
    }

    void stop() {
        ticker.interrupt();
    }
}
