package damsonslip.policy;

import damsonslip.policy.api.Settings;
import java.util.Arrays;
import java.util.List;

/**
 * The pools of all job classes. Measures their load, deals workers to them and sets their
 * thresholds.
 */
final class WorkerPools {
    /**
     * Points of each worker on a pool's hash ring. Several points make the workers' parts of the
     * ring about equal; a ring without affinity keys needs one.
     */
    private static final int RING_POINTS = 32;

    private static final double MICROS_PER_SECOND = 1e6;

    private final DecisionContext context;
    private final WorkerPool[] pools;
    private final PoolDealer dealer;
    private boolean anyAffinity = true;

    WorkerPools(DecisionContext context, SlotEstimates slots) {
        this.context = context;
        Settings settings = context.settings();
        this.pools =
                settings.classes().stream()
                        .map(jobClass -> new WorkerPool(jobClass, slots.kinds(), settings.zones()))
                        .toArray(WorkerPool[]::new);
        this.dealer = new PoolDealer(pools, slots);
    }

    /** The pools by class. */
    WorkerPool[] all() {
        return pools;
    }

    WorkerPool ofClass(int jobClass) {
        return pools[jobClass];
    }

    /** Number of the class that a pool belongs to; -1 for null. */
    int classOf(WorkerPool pool) {
        return Arrays.asList(pools).indexOf(pool);
    }

    /** Updates the arrival rates with the arrivals of an interval. */
    void measure(MeasurementInterval interval) {
        for (WorkerPool pool : pools) {
            pool.arrivalRate().measure(interval, context.settings().schedulers());
            pool.affinityLoad().removeNegligible(context.nowUs());
        }
        anyAffinity = Arrays.stream(pools).anyMatch(pool -> !pool.affinityLoad().isEmpty());
    }

    /** Deals the running workers to the pools anew, and sets the pools' thresholds. */
    void deal(WorkerRegistry registry, List<Worker> running) {
        registry.all().forEach(worker -> worker.assignTo(null));
        List<List<Worker>> members = dealer.deal(running, context.settings());
        int ringPoints = anyAffinity ? RING_POINTS : 1;
        for (int i = 0; i < pools.length; i++) {
            pools[i].setMembers(members.get(i), ringPoints);
            pools[i].queue().setBlocked(false);
            setAdmissionShare(pools[i]);
        }
    }

    private void setAdmissionShare(WorkerPool pool) {
        double threshold =
                AdmissionThreshold.search(
                        (int) Math.floor(pool.slots() / pool.slotsPerJob()),
                        pool.arrivalRate().perSecond(),
                        MICROS_PER_SECOND / pool.runTimes().meanUs(),
                        pool.objectiveUs() / MICROS_PER_SECOND,
                        pool.jobClass().priorityWeight(),
                        AdmissionThreshold.EPSILON);
        double share = threshold / context.settings().schedulers();
        pool.setAdmissionShare(Math.max(1, (int) Math.round(share)));
    }

    /** Arrival rate of own jobs of all classes, per second. */
    double ownArrivalsPerSecond() {
        int schedulers = context.settings().schedulers();
        return Arrays.stream(pools)
                .mapToDouble(pool -> pool.arrivalRate().perSecond() / schedulers)
                .sum();
    }

    /** Whether no admission queue has entries. */
    boolean areQueuesEmpty() {
        for (WorkerPool pool : pools) {
            if (!pool.queue().isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** Drops the estimates for a removed worker. */
    void forget(Worker worker) {
        for (WorkerPool pool : pools) {
            pool.runTimes().forget(worker);
        }
    }
}
