package damsonslip.policy;

/** Selects workers of other classes' pools for jobs that find none in their home pool. */
final class SlotBorrowing {
    /**
     * A pool lends slots, and admits jobs beyond their tenant's quota, while at least this share of
     * its slots is free.
     */
    static final double SPARE_SHARE = 0.45;

    private final DecisionContext context;
    private final WorkerPools pools;
    private final CapacityEstimator capacity;
    private final WorkerEligibility eligibility;
    private final WorkerSelector selector;
    private int borrowed;

    SlotBorrowing(
            DecisionContext context,
            WorkerPools pools,
            CapacityEstimator capacity,
            WorkerEligibility eligibility,
            WorkerSelector selector) {
        this.context = context;
        this.pools = pools;
        this.capacity = capacity;
        this.eligibility = eligibility;
        this.selector = selector;
    }

    /**
     * Selects a worker of another pool, or null. A pool lends if it has spare slots or its class
     * earns less per slot; if no worker of the home pool is eligible for the job, any pool lends.
     */
    Worker borrow(Job job) {
        WorkerPool home = job.homePool();
        boolean notEligibleAtHome =
                job.restrictsWorkers() && home.members().stream().noneMatch(job::isEligible);
        double spareShare = isRejectedOrLateAtHome(job) ? 0 : SPARE_SHARE;
        for (WorkerPool lender : pools.all()) {
            if (lender != home && (notEligibleAtHome || lends(lender, home, spareShare))) {
                Worker worker = selector.select(lender, job, true);
                if (worker != null) {
                    borrowed++;
                    return worker;
                }
            }
        }
        return null;
    }

    /**
     * Whether the job would be rejected or late in its home pool. It may then borrow any free slot,
     * as no job should be lost while a slot is free.
     */
    private boolean isRejectedOrLateAtHome(Job job) {
        return job.isLate(context.nowUs())
                || job.homePool().members().stream()
                        .noneMatch(worker -> eligibility.mayTake(worker, job));
    }

    private boolean lends(WorkerPool lender, WorkerPool borrower, double spareShare) {
        boolean spare = lender.queue().isEmpty() && capacity.freeShare(lender) >= spareShare;
        return spare || borrower.valueOfSlot() > lender.valueOfSlot();
    }

    /** How many jobs were given a worker of another pool. */
    int borrowed() {
        return borrowed;
    }
}
