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
    private static final long OUTAGE_US = 8_000_000;
    private static final long RECOVERY_LIMIT_US = 120_000_000;

    /**
     * A call that has waited so long is answered with 503, and has cost as much as a served one.
     */
    private static final long CALL_TIMEOUT_US = 3_000_000;

    private static final long POLL_INTERVAL_US = 10_000_000;
    private static final long DRAIN_GRACE_US = 500_000;

    private record Call(long atUs, int scheduler) {}

    private final DiscoveryWatch[] watches;
    private final UniformRandomProvider random;
    private final PriorityQueue<Call> calls =
            new PriorityQueue<>(
                    Comparator.comparingLong(Call::atUs).thenComparingInt(Call::scheduler));
    private int rejected;
    private int served;
    private long lastServedUs;

    HollowDiscovery(int schedulers, long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        watches = new DiscoveryWatch[schedulers];
        for (int i = 0; i < schedulers; i++) {
            watches[i] = new DiscoveryWatch(schedulers, i, POLL_INTERVAL_US, DRAIN_GRACE_US);
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
            scheduleCall(i, watches[i].failed(Failure.FAILED, 0, 0, random.nextDouble()));
        }
        long freeAtUs = OUTAGE_US;
        while (served < watches.length
                && !calls.isEmpty()
                && calls.peek().atUs() < OUTAGE_US + RECOVERY_LIMIT_US) {
            Call next = calls.poll();
            watches[next.scheduler()].pollSent(next.atUs());
            if (next.atUs() < OUTAGE_US) {
                rejected++;
                callFailed(next.scheduler(), next.atUs());
                continue;
            }
            long startUs = Math.max(next.atUs(), freeAtUs);
            freeAtUs = startUs + callUs;
            if (freeAtUs - next.atUs() > CALL_TIMEOUT_US) {
                callFailed(next.scheduler(), next.atUs() + CALL_TIMEOUT_US);
            } else {
                served++;
                watches[next.scheduler()].updateReceived();
                lastServedUs = freeAtUs;
            }
        }
        return this;
    }

    private void callFailed(int scheduler, long nowUs) {
        scheduleCall(
                scheduler,
                watches[scheduler].failed(Failure.FAILED, nowUs, nowUs, random.nextDouble()));
    }

    private void scheduleCall(int scheduler, long atUs) {
        calls.add(new Call(atUs, scheduler));
    }

    /** Calls to it each second while it was down. */
    double rejectedCallsPerSecond() {
        return rejected / (OUTAGE_US / 1e6);
    }

    /**
     * From its return until the last scheduler was served; where some never were, the time that was
     * looked at.
     */
    double recoverySeconds() {
        return (served < watches.length ? RECOVERY_LIMIT_US : lastServedUs - OUTAGE_US) / 1e6;
    }
}
