package damsonslip.policy;

import damsonslip.policy.FleetState.Pool;
import damsonslip.policy.api.PoolState;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

/**
 * What {@link SchedulingPolicy} knows, put so that people can read it; nothing is decided by it.
 */
final class PolicySnapshot {
    private PolicySnapshot() {}

    static List<PoolState> pools(Pool[] pools, ToDoubleFunction<Pool> free) {
        return IntStream.range(0, pools.length)
                .mapToObj(
                        i -> {
                            Pool p = pools[i];
                            return new PoolState(
                                    i,
                                    p.members.size(),
                                    p.slots,
                                    p.rate,
                                    p.time,
                                    free.applyAsDouble(p),
                                    p.present,
                                    (int) p.hold.stream().filter(job -> job.held).count(),
                                    p.share);
                        })
                .toList();
    }

    /** The pools on one line, for the log. */
    static String line(Pool[] pools, ToDoubleFunction<Pool> free) {
        StringBuilder text = new StringBuilder("pools");
        for (Pool p : pools) {
            text.append(
                    " [slots "
                            + (int) p.slots
                            + " rate "
                            + (int) p.rate
                            + " ms "
                            + (int) (p.time / 1000)
                            + " share "
                            + p.share
                            + " in "
                            + p.present
                            + " free% "
                            + (int) (100 * free.applyAsDouble(p))
                            + "]");
        }
        return text.toString();
    }
}
