package damsonslip.policy;

import java.util.Comparator;
import java.util.function.Predicate;

/**
 * Selects the worker for a job: of some candidates along the pool's hash ring the one with most
 * free slots, workers of the own zone first.
 *
 * <p>A job without an affinity key starts at a random point of the ring. One with a key keeps to as
 * many of the next workers as the key's load needs, even to wait there a little: to load its data
 * elsewhere costs more than a short wait.
 */
final class WorkerSelector {
    /** Positions of the ring that are looked at for one job. */
    private static final int MAX_POSITIONS = 32;

    /** A job takes a worker with so much less free than it needs: free slots are estimates. */
    private static final double SLOT_TOLERANCE = 0.5;

    /** A job with an affinity key may queue at its workers behind about this many others. */
    private static final double MAX_AFFINITY_QUEUE = 2;

    /** The load of an affinity key gets one more worker above this utilization. */
    private static final double AFFINITY_UTILIZATION = 0.7;

    /** Free slots by which the own zone is preferred, for each point that crossing zones costs. */
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
     * Selects a worker of the pool, or null if none of the candidates has room.
     *
     * @param widened whether the job has waited and takes one more of its affinity key's workers
     */
    Worker select(WorkerPool pool, Job job, boolean widened) {
        return select(pool, job, widened, worker -> eligibility.mayTake(worker, job));
    }

    /** The same among the workers that satisfy this condition. */
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

    /** A slow worker makes jobs late, so it is left to those that are late in any case. */
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

    /** Selects among the workers probed for the job that have reported enough room, or null. */
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

    /** The same among the workers that satisfy this condition, of whatever pool. */
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
