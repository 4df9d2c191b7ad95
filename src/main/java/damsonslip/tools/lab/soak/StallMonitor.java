package damsonslip.tools.lab.soak;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * When the soak's own process was held up: times that its clients and workers wrote down then are
 * late by as much.
 */
final class StallMonitor {
    private static final long TICK_US = 5 * Clock.MILLISECOND;
    private static final long WORTH_A_NOTE_US = 10 * Clock.MILLISECOND;

    private record Stall(long atUs, long lateUs) {}

    private final Queue<Stall> seen = new ConcurrentLinkedQueue<>();
    private final Thread ticking = Threads.start("hold-ups", this::tick);

    private void tick() throws InterruptedException {
        while (true) {
            long dueUs = Clock.nowUs() + TICK_US;
            Clock.sleepUs(TICK_US);
            long lateUs = Clock.nowUs() - dueUs;
            if (lateUs > WORTH_A_NOTE_US) {
                seen.add(new Stall(dueUs + lateUs, lateUs));
            }
        }
    }

    /** The longest hold-up that ended in this span. */
    long longestUs(long fromUs, long toUs) {
        return seen.stream()
                .filter(one -> one.atUs() >= fromUs && one.atUs() - one.lateUs() <= toUs)
                .mapToLong(Stall::lateUs)
                .max()
                .orElse(0);
    }

    void stop() {
        ticking.interrupt();
    }
}
