package damsonslip.policy;

import damsonslip.policy.api.PoolState;
import damsonslip.policy.api.WorkerState;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/** Describes the state of the policy for operators; no decision depends on it. */
final class PolicySnapshot {
    private static final int MICROS_PER_MILLI = 1000;

    private final DecisionContext context;
    private final WorkerRegistry registry;
    private final WorkerPools pools;
    private final CapacityEstimator capacity;
    private final SlowStartBudget slowStart;

    PolicySnapshot(
            DecisionContext context,
            WorkerRegistry registry,
            WorkerPools pools,
            CapacityEstimator capacity,
            SlowStartBudget slowStart) {
        this.context = context;
        this.registry = registry;
        this.pools = pools;
        this.capacity = capacity;
        this.slowStart = slowStart;
    }

    /** The pools by class. */
    List<PoolState> pools() {
        return IntStream.range(0, pools.all().length).mapToObj(this::poolState).toList();
    }

    private PoolState poolState(int jobClass) {
        WorkerPool pool = pools.ofClass(jobClass);
        return new PoolState(
                jobClass,
                pool.members().size(),
                pool.slots(),
                pool.arrivalRate().perSecond(),
                pool.runTimes().meanUs(),
                capacity.freeShare(pool),
                pool.jobsPresent(),
                pool.queue().waitingJobs(),
                pool.admissionShare());
    }

    /** The workers by id. */
    List<WorkerState> workers() {
        return registry.all().stream().map(this::workerState).toList();
    }

    private WorkerState workerState(Worker worker) {
        boolean warmingUp = slowStart.isWarmingUp(worker);
        return new WorkerState(
                worker.id(),
                worker.zone(),
                worker.kind(),
                worker.isRunning(),
                warmingUp,
                worker.health().isPaused(context.nowUs()),
                worker.outstanding().size(),
                capacity.freeSlots(worker),
                pools.classOf(worker.pool()),
                warmingUp ? slowStart.windowBudgetUs(worker) : 0);
    }

    /** One line for the log. The fleet report parses it, so its words must not change. */
    String logLine(Counts counts, SlotEstimates slots) {
        StringBuilder line = new StringBuilder("pools");
        for (WorkerPool pool : pools.all()) {
            line.append(" [slots ").append((int) pool.slots());
            line.append(" rate ").append((int) pool.arrivalRate().perSecond());
            line.append(" ms ").append((int) (pool.runTimes().meanUs() / MICROS_PER_MILLI));
            line.append(" share ").append(pool.admissionShare());
            line.append(" in ").append(pool.jobsPresent());
            line.append(" free% ").append((int) (100 * capacity.freeShare(pool)));
            line.append("]");
        }
        line.append(" borrowed ").append(counts.borrowed());
        line.append(" moved ").append(counts.migrated());
        line.append(" beyond quota ").append(counts.overQuota());
        line.append(" turned away ").append(counts.unserved());
        line.append(" slots ").append(Arrays.toString(slots.toArray()));
        return line.toString();
    }

    /**
     * Counts of jobs since the start.
     *
     * @param borrowed sent to a worker of another class's pool
     * @param migrated with an attempt that was cancelled because it had not started
     * @param overQuota rejected because of a tenant's quota
     * @param unserved rejected or failed
     */
    record Counts(int borrowed, int migrated, int overQuota, int unserved) {}
}
