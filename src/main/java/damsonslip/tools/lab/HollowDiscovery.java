package damsonslip.tools.lab;

import damsonslip.membership.DiscoveryWatch;
import damsonslip.membership.DiscoveryWatch.Failure;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates the outage and recovery of a discovery service that serves calls one after another. The
 * schedulers' {@link DiscoveryWatch} objects are real; the clock is simulated, in microseconds.
 */
final class HollowDiscovery {
    private static final long OUTAGE_US = 8_000_000;
    private static final long RECOVERY_LIMIT_US = 120_000_000;

    /**
     * A call that would complete later than this after its start is answered with 503. It takes as
     * much of discovery's time as a served call.
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
     * Runs one outage: all open watches fail at time 0, discovery rejects calls for 8 s and then
     * takes {@code callUs} for each call.
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

    /** Mean rate of calls to discovery during the outage. */
    double rejectedCallsPerSecond() {
        return rejected / (OUTAGE_US / 1e6);
    }

    /**
     * Time from the end of the outage until the last scheduler was served, or the whole simulated
     * recovery time if some were never served.
     */
    double recoverySeconds() {
        return (served < watches.length ? RECOVERY_LIMIT_US : lastServedUs - OUTAGE_US) / 1e6;
    }
}
