package damsonslip.policy;

import damsonslip.policy.api.LoadReport;

/**
 * Estimates the free slots of workers.
 *
 * <p>The slots that own jobs use are known exactly. The slots that the other schedulers use are
 * estimated: a load report shows the slots that all schedulers use, and the recent mean of own
 * slots is subtracted. As a report ages, the estimate moves towards the mean of similar workers.
 * Reports may be a second old; they still show own jobs that have ended and lack later ones. Taken
 * literally, they would keep jobs waiting although slots are free.
 */
final class CapacityEstimator {
    /** A report may lack jobs that were sent this recently. */
    private static final long REPORT_LAG_US = 250_000;

    /**
     * A job that was sent longer ago and has not been reported as started is taken to wait in its
     * worker's queue.
     */
    private static final long START_DELAY_US = 80_000;

    /** Weight of the last report for a worker that belongs to no pool. */
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

    /** Learns from a worker's report of free slots. */
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
     * The mean share of free slots at workers like this one: of its pool, kind and zone, and
     * warming up or not. With few reports, as after a new deal, it is close to the mean of all
     * workers that are warming up, or of all that are not.
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

    /** Estimated free slots of a worker; below 0 if own jobs wait there to start. */
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

    /** Whether an attempt should have started by now and has not been reported as started. */
    boolean isWaitingToStart(JobAttempt attempt) {
        return attempt.isWaitingSince(context.nowUs() - START_DELAY_US);
    }
}
