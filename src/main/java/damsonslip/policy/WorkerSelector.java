package damsonslip.policy;

import java.util.Comparator;
import java.util.function.Predicate;

/**
 * Selects the worker for a job: among a limited number of candidates along the pool's hash ring,
 * the one with the most free slots, with a preference for workers of this scheduler's zone.
 *
 * <p>A job without an affinity key starts at a random position of the ring. A job with a key starts
 * at the key's position and is limited to as many of the next workers as the key's load needs, even
 * if it has to wait there for a short time: loading the key's data at another worker costs more.
 */
final class WorkerSelector {
    /** Maximum number of ring positions that are checked for one job. */
    private static final int MAX_POSITIONS = 32;

    /** Free slots are estimates: at least this fraction of a slot counts as a whole slot. */
    private static final double SLOT_TOLERANCE = 0.5;

    /**
     * A job with an affinity key may wait at one of the key's workers behind about this many
     * others.
     */
    private static final double MAX_AFFINITY_QUEUE = 2;

    /**
     * An affinity key gets another worker when its load exceeds this utilization of its workers.
     */
    private static final double AFFINITY_UTILIZATION = 0.7;

    /**
     * Number of free slots by which workers of this scheduler's zone are preferred, for each point
     * of the configured price of crossing zones.
     */
    private static final double SLOTS_PER_CROSS_ZONE_POINT = 80;

    private final DecisionContext context;
    private final WorkerRegistry registry;
    private final CapacityEstimator capacity;
    private final WorkerEligibility eligibility;
    private final OutlierDetector outliers;
    private final IdempotencyRules idempotency;

    WorkerSelector(
            DecisionContext context,
            WorkerRegistry registry,
            CapacityEstimator capacity,
            WorkerEligibility eligibility,
            OutlierDetector outliers,
            IdempotencyRules idempotency) {
        this.context = context;
        this.registry = registry;
        this.capacity = capacity;
        this.eligibility = eligibility;
        this.outliers = outliers;
        this.idempotency = idempotency;
    }

    /** Counts a job with this affinity key, and returns how many workers the key's load needs. */
    int countAffinityWorkers(WorkerPool pool, Long affinityKey) {
        if (affinityKey == null || pool.members().isEmpty()) {
            return 1;
        }
        double recentJobs = pool.affinityLoad().countJob(affinityKey, context.nowUs());
        double slotsPerWorker = pool.slots() / pool.members().size();
        double busySlots =
                recentJobs
                        / AffinityLoad.DECAY_US
                        * context.settings().schedulers()
                        * pool.runTimes().medianUs();
        return (int) Math.ceil(busySlots / (slotsPerWorker * AFFINITY_UTILIZATION));
    }

    /**
     * Selects a worker of the pool that may take the job, or null if no candidate has capacity.
     *
     * @param widened whether the job has waited, so that one more worker of its affinity key is a
     *     candidate
     */
    Worker select(WorkerPool pool, Job job, boolean widened) {
        return select(pool, job, widened, worker -> eligibility.mayTake(worker, job));
    }

    /** Selects a worker of the pool that satisfies the condition, or null if none has capacity. */
    Worker select(WorkerPool pool, Job job, boolean widened, Predicate<Worker> mayTake) {
        Worker[] ring = pool.ring();
        boolean anyWorker = !job.hasAffinity();
        int start = startPosition(job, ring.length);
        int candidatesLeft = anyWorker ? ring.length : job.affinityWorkers() + (widened ? 1 : 0);
        double minSpareSlots = SLOT_TOLERANCE - 1 - (anyWorker || widened ? 0 : MAX_AFFINITY_QUEUE);
        Worker selected = null;
        Worker previous = null;
        double bestSpareSlots = 0;
        int positions = Math.min(MAX_POSITIONS, ring.length);
        for (int i = 0; i < positions && candidatesLeft > 0; i++) {
            Worker worker = ring[(start + i) % ring.length];
            if (worker == previous || !mayTake.test(worker) || isTooSlow(worker, job)) {
                continue;
            }
            previous = worker;
            candidatesLeft--;
            double spareSlots = capacity.freeSlots(worker) - job.slots();
            if (spareSlots < minSpareSlots || worker.load().lacksMemory(job.memory())) {
                continue;
            }
            spareSlots += anyWorker ? zonePreference(worker) : 0;
            if (selected == null || spareSlots > bestSpareSlots) {
                selected = worker;
                bestSpareSlots = spareSlots;
            }
        }
        return selected;
    }

    private int startPosition(Job job, int ringLength) {
        long hash =
                job.hasAffinity()
                        ? HashRing.hashOfAffinityKey(job.affinityKey())
                        : context.random().nextLong();
        return (int) Math.floorMod(hash, Math.max(1L, ringLength));
    }

    /** A slow worker makes jobs late, so it is used only for jobs that are late in any case. */
    private boolean isTooSlow(Worker worker, Job job) {
        return outliers.isSlow(worker) && !job.isLate(context.nowUs());
    }

    private double zonePreference(Worker worker) {
        if (worker.zone() != context.settings().zone()) {
            return 0;
        }
        double price = context.settings().limits().crossZonePrice();
        return Math.max(SLOT_TOLERANCE, SLOTS_PER_CROSS_ZONE_POINT * price);
    }

    /**
     * Selects among the workers that were probed for the job and have reported enough capacity
     * since it arrived, or null.
     */
    Worker selectProbedCandidate(Job job) {
        return job.probedCandidates().stream()
                .filter(worker -> worker.load().reportedUs() >= job.arrivedUs())
                .filter(worker -> eligibility.mayTake(worker, job))
                .filter(worker -> capacity.freeSlots(worker) >= job.slots())
                .filter(worker -> !worker.load().lacksMemory(job.memory()))
                .max(
                        Comparator.comparingDouble(
                                worker -> capacity.freeSlots(worker) + zonePreference(worker)))
                .orElse(null);
    }

    /** Selects a worker for a job that must stay in the scope of its idempotency key, or null. */
    Worker selectInScope(Job job) {
        return selectInScope(job, worker -> eligibility.mayTake(worker, job));
    }

    /** Selects a worker of any pool in the scope that satisfies the condition, or null. */
    Worker selectInScope(Job job, Predicate<Worker> mayTake) {
        Worker first = job.firstPossibleRun().worker();
        return registry.all().stream()
                .filter(worker -> idempotency.shareScope(job.jobClass(), worker, first))
                .filter(mayTake)
                .filter(worker -> capacity.freeSlots(worker) >= job.slots() + SLOT_TOLERANCE - 1)
                .findFirst()
                .orElse(null);
    }
}
