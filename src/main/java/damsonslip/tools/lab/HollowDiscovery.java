package damsonslip.tools.lab;

import damsonslip.membership.DiscoveryWatch;
import damsonslip.membership.DiscoveryWatch.Failure;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Many schedulers' real watches on one discovery that serves calls one after another, on a
 * simulated clock of microseconds: it goes down, refuses, and comes back.
 */
final class HollowDiscovery {
    private static final long DOWN_US = 8_000_000;
    private static final long AFTER_US = 120_000_000;

    /**
     * A call that has waited so long is answered with 503, and has cost as much as a served one.
     */
    private static final long PATIENCE_US = 3_000_000;

    private static final long ASK_EVERY_US = 10_000_000;
    private static final long DRAIN_GRACE_US = 500_000;

    private record Call(long atUs, int scheduler) {}

    private final DiscoveryWatch[] watches;
    private final UniformRandomProvider random;
    private final PriorityQueue<Call> calls =
            new PriorityQueue<>(
                    Comparator.comparingLong(Call::atUs).thenComparingInt(Call::scheduler));
    private int refused;
    private int served;
    private long lastServedUs;

    HollowDiscovery(int schedulers, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        watches = new DiscoveryWatch[schedulers];
        for (int i = 0; i < schedulers; i++) {
            watches[i] = new DiscoveryWatch(schedulers, i, ASK_EVERY_US, DRAIN_GRACE_US);
            watches[i].start(0, 0);
            watches[i].pollSent(0);
            watches[i].updateReceived();
        }
    }

    /**
     * All open watches are lost at 0, discovery refuses for 8 s and then takes so long for each
     * call.
     */
    HollowDiscovery outage(long callUs) {
        for (int i = 0; i < watches.length; i++) {
            call(i, watches[i].failed(Failure.FAILED, 0, 0, random.nextDouble()));
        }
        long free = DOWN_US;
        while (served < watches.length
                && !calls.isEmpty()
                && calls.peek().atUs() < DOWN_US + AFTER_US) {
            Call next = calls.poll();
            watches[next.scheduler()].pollSent(next.atUs());
            if (next.atUs() < DOWN_US) {
                refused++;
                lost(next.scheduler(), next.atUs());
                continue;
            }
            long begins = Math.max(next.atUs(), free);
            free = begins + callUs;
            if (free - next.atUs() > PATIENCE_US) {
                lost(next.scheduler(), next.atUs() + PATIENCE_US);
            } else {
                served++;
                watches[next.scheduler()].updateReceived();
                lastServedUs = free;
            }
        }
        return this;
    }

    private void lost(int scheduler, long nowUs) {
        call(
                scheduler,
                watches[scheduler].failed(Failure.FAILED, nowUs, nowUs, random.nextDouble()));
    }

    private void call(int scheduler, long atUs) {
        calls.add(new Call(atUs, scheduler));
    }

    /** Calls to it each second while it was down. */
    double callsASecond() {
        return refused / (DOWN_US / 1e6);
    }

    /**
     * From its return until the last scheduler was served; where some never were, the time that was
     * looked at.
     */
    double returnedS() {
        return (served < watches.length ? AFTER_US : lastServedUs - DOWN_US) / 1e6;
    }
}
