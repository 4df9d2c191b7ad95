package damsonslip.policy;

/**
 * Admits or rejects jobs as they arrive, by their tenant's quota and the threshold of their class,
 * and sends admitted ones at once if a worker has a free slot.
 */
final class AdmissionControl {
    /**
     * Jobs within their tenant's quota may exceed this scheduler's share of the threshold by this
     * many times its square root, the standard deviation of a random number of jobs. Without the
     * excess, a share of a few jobs would reject half of the jobs that there is capacity for.
     */
    private static final double THRESHOLD_DEVIATIONS = 2;

    /**
     * The allowed excess is multiplied by this times the free share of the pool, up to 1: it is
     * allowed in full while at least half of the pool is free, and shrinks below that.
     */
    private static final double EXCESS_PER_FREE_SHARE = 2;

    private final DecisionContext context;
    private final TenantQuotas quotas;
    private final WorkerAvailability availability;
    private final CapacityEstimator capacity;
    private final WorkerSelector selector;
    private final SlotBorrowing borrowing;
    private final CandidateProbing candidates;
    private final QueueDispatcher queues;
    private final AttemptSender sender;
    private final JobCompletion completion;
    private int overQuota;

    AdmissionControl(
            DecisionContext context,
            TenantQuotas quotas,
            WorkerAvailability availability,
            CapacityEstimator capacity,
            WorkerSelector selector,
            SlotBorrowing borrowing,
            CandidateProbing candidates,
            QueueDispatcher queues,
            AttemptSender sender,
            JobCompletion completion) {
        this.context = context;
        this.quotas = quotas;
        this.availability = availability;
        this.capacity = capacity;
        this.selector = selector;
        this.borrowing = borrowing;
        this.candidates = candidates;
        this.queues = queues;
        this.sender = sender;
        this.completion = completion;
    }

    /** Sends, queues or rejects a job that has just arrived. */
    void admit(Job job) {
        WorkerPool pool = job.homePool();
        boolean withinQuota = quotas.tryAcquire(job.tenant(), context.settings(), context.nowUs());
        Worker worker =
                pool.queue().isEmpty() || job.hasAffinity()
                        ? selector.select(pool, job, false)
                        : null;
        boolean slotFree = worker != null && hasFreeSlots(worker, job);
        if (!withinQuota && !hasSpareSlots(pool, slotFree)) {
            overQuota++;
            completion.answerUnserved(job);
            return;
        }
        pool.arrivalRate().countArrival();
        if (!availability.mayWait()) {
            completion.answerUnserved(job);
        } else if (!slotFree && exceedsThreshold(pool)) {
            borrowOrReject(job);
        } else if (worker != null && !candidates.isNeeded(job)) {
            sender.send(job, worker);
        } else {
            enqueue(job);
        }
    }

    /**
     * All schedulers choose the same workers for an affinity key, so without a report from the
     * worker the estimate of its free slots is not reliable for such a job.
     */
    private boolean hasFreeSlots(Worker worker, Job job) {
        boolean reliable = !job.hasAffinity() || worker.load().hasReport();
        return reliable && capacity.freeSlots(worker) >= job.slots();
    }

    private boolean hasSpareSlots(WorkerPool pool, boolean slotFree) {
        return slotFree && capacity.freeShare(pool) >= SlotBorrowing.SPARE_SHARE;
    }

    /**
     * In overload all schedulers would use the allowed excess at once, so it shrinks as the pool
     * fills.
     */
    private boolean exceedsThreshold(WorkerPool pool) {
        double free = Math.min(1, EXCESS_PER_FREE_SHARE * capacity.freeShare(pool));
        double share = pool.admissionShare();
        return pool.jobsPresent() > share + THRESHOLD_DEVIATIONS * Math.sqrt(share) * free;
    }

    private void borrowOrReject(Job job) {
        Worker worker = job.hasAffinity() ? null : borrowing.borrow(job);
        if (worker != null) {
            sender.send(job, worker);
        } else {
            completion.answerUnserved(job);
        }
    }

    private void enqueue(Job job) {
        AdmissionQueue queue = job.homePool().queue();
        queue.add(job);
        if (candidates.isNeeded(job)) {
            // the workers that will be probed for it may be others than those that were full
            queue.setBlocked(false);
        }
        queues.dispatch(job.homePool());
    }

    /** How many jobs were rejected because of their tenant's quota. */
    int overQuota() {
        return overQuota;
    }
}
