package damsonslip.policy;

import damsonslip.policy.api.LoadReport;

/**
 * Estimates the free slots of workers.
 *
 * <p>Own jobs are known exactly. What the other schedulers use is what reports leave beside the
 * mean of own slots; as a report ages, that fades towards the mean of similar workers. Guards
 * against reports a second old, which still show own jobs that have ended and lack later ones:
 * believed as they are, they keep jobs waiting beside free slots.
 */
final class CapacityEstimator {
    /** Jobs sent this recently may be missing from a report. */
    private static final long REPORT_LAG_US = 250_000;

    /** A job sent longer ago that is not known to have started waits in its worker's queue. */
    private static final long START_DELAY_US = 80_000;

    /** How much a report counts for a worker that belongs to no pool. */
    private static final double REPORT_WEIGHT_WITHOUT_POOL = 0.5;

    private final DecisionContext context;
    private final SlotEstimates slots;
    private final SlowStartBudget slowStart;
    private final FreeShareEstimate warmFreeShare = new FreeShareEstimate();
    private final FreeShareEstimate slowStartFreeShare = new FreeShareEstimate();

    CapacityEstimator(DecisionContext context, SlotEstimates slots, SlowStartBudget slowStart) {
        this.context = context;
        this.slots = slots;
        this.slowStart = slowStart;
    }

    /** Takes in a worker's report of free slots, which may come from a probe. */
    void acceptReport(Worker worker, LoadReport report, boolean probed) {
        slots.observe(worker, report);
        double totalSlots = slots.slotsOf(worker);
        long nowUs = context.nowUs();
        double unreportedMemory = worker.memorySentAfter(nowUs - REPORT_LAG_US);
        worker.load().acceptReport(report, totalSlots, probed, unreportedMemory, nowUs);
        double free = Math.max(0, report.freeSlots());
        observeFreeShare(worker, Math.min(1, free / totalSlots));
    }

    /** Records that a worker has no free slot now. */
    void recordFull(Worker worker) {
        worker.load().recordFull(slots.slotsOf(worker), context.nowUs());
        observeFreeShare(worker, 0);
    }

    private void observeFreeShare(Worker worker, double freeShare) {
        boolean warmingUp = slowStart.isWarmingUp(worker);
        fleetFreeShare(warmingUp).observe(freeShare, context.nowUs());
        if (worker.pool() != null) {
            worker.pool().freeShareEstimate(worker, warmingUp).observe(freeShare, context.nowUs());
        }
    }

    private FreeShareEstimate fleetFreeShare(boolean warmingUp) {
        return warmingUp ? slowStartFreeShare : warmFreeShare;
    }

    /**
     * The share of free slots at workers like this one. Where reports of the pool are few, as after
     * a new deal, it is close to the mean of all workers that are warming up, or all that are not.
     */
    private double similarWorkersFreeShare(Worker worker) {
        boolean warmingUp = slowStart.isWarmingUp(worker);
        long nowUs = context.nowUs();
        double fleetShare = fleetFreeShare(warmingUp).share(1, nowUs);
        return worker.pool() == null
                ? fleetShare
                : worker.pool().freeShareEstimate(worker, warmingUp).share(fleetShare, nowUs);
    }

    /** The share of free slots in a pool; 1 if it has no workers. */
    double freeShare(WorkerPool pool) {
        return pool.members().stream()
                .mapToDouble(this::similarWorkersFreeShare)
                .average()
                .orElse(1);
    }

    /** Free slots of a worker; below 0 if own jobs wait there to start. */
    double freeSlots(Worker worker) {
        WorkerLoad load = worker.load();
        double total = slots.slotsOf(worker);
        double free = total - load.ownSlots() - othersSlots(worker, total);
        if (slowStart.isWarmingUp(worker)) {
            free = Math.min(free, total * slowStart.capacityShare(worker) - load.ownSlots());
        }
        if (!context.settings().reportsJobStart()) {
            return free;
        }
        int waiting = worker.slotsNotStartedSentBefore(context.nowUs() - START_DELAY_US);
        return waiting > 0 ? Math.min(free, -waiting) : free;
    }

    private double othersSlots(Worker worker, double total) {
        int schedulers = context.settings().schedulers();
        double others =
                total * (1 - similarWorkersFreeShare(worker)) * (schedulers - 1) / schedulers;
        if (worker.load().hasReport()) {
            others += reportWeight(worker) * (worker.load().othersSlots() - others);
        }
        return others;
    }

    private double reportWeight(Worker worker) {
        if (worker.pool() == null) {
            return REPORT_WEIGHT_WITHOUT_POOL;
        }
        double runTimeUs = worker.pool().runTimes().meanUs();
        return runTimeUs / (runTimeUs + (context.nowUs() - worker.load().reportedUs()));
    }

    /** Whether an attempt ought to have started, and is not known to have. */
    boolean isWaitingToStart(JobAttempt attempt) {
        return attempt.isWaitingSince(context.nowUs() - START_DELAY_US);
    }
}
