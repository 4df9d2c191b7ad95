package damsonslip.policy;

import damsonslip.policy.api.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;

/**
 * Deals the workers to the pools of the job classes, that is, assigns the workers to them, in
 * proportion to the offered load. Goes by the order of worker ids, so that schedulers, which share
 * no state, come to the same assignment.
 *
 * <p>Not safe for use by several threads.
 */
final class PoolDealer {
    /**
     * The load share of a class is rounded to a multiple of 1 divided by this number, so that
     * schedulers come to the same assignment although their estimates are noisy.
     */
    private static final double LOAD_STEPS = 16;

    /** Pools keep their sizes until the load share of a class has changed by this many steps. */
    private static final double HYSTERESIS_STEPS = 0.8;

    /**
     * Slots per worker that are assumed to be left to classes that run on any kind of worker, even
     * if the load of the classes bound to the kind exceeds all its slots.
     */
    private static final double MIN_SLOTS_LEFT_PER_WORKER = 0.1;

    private static final double MICROS_PER_SECOND = 1e6;

    private final WorkerPool[] pools;
    private final SlotEstimates slots;

    PoolDealer(WorkerPool[] pools, SlotEstimates slots) {
        this.pools = pools;
        this.slots = slots;
    }

    /**
     * Deals these workers to the pools and returns each pool's members, by class.
     *
     * @param running the workers to deal, in the order of their ids
     */
    List<List<Worker>> deal(List<Worker> running, Settings settings) {
        double totalLoad = updateLoadShares(settings);
        List<List<Worker>> byKind = emptyLists(slots.kinds());
        running.forEach(worker -> byKind.get(worker.kind()).add(worker));
        // the load is limited to all slots: in overload, classes bound to a kind must not take all
        // workers of that kind
        double totalSlots = running.stream().mapToDouble(slots::slotsOf).sum();
        double[][] loads = loadsByKind(Math.min(totalLoad, totalSlots), byKind);
        List<List<Worker>> members = emptyLists(pools.length);
        for (WorkerPool pool : pools) {
            pool.clearSlots();
        }
        for (int kind = 0; kind < slots.kinds(); kind++) {
            dealKind(byKind.get(kind), loads[kind], members, settings.zones());
        }
        return members;
    }

    private static List<List<Worker>> emptyLists(int count) {
        return Stream.generate(() -> (List<Worker>) new ArrayList<Worker>()).limit(count).toList();
    }

    /**
     * Offered load of this scheduler's jobs of a class, in slots: arrival rate times mean run time
     * times slots per job.
     */
    private static double load(WorkerPool pool) {
        return pool.arrivalRate().ownPerSecond()
                * pool.runTimes().meanUs()
                / MICROS_PER_SECOND
                * pool.slotsPerJob();
    }

    /**
     * Updates the pools' load shares; returns the offered load of all schedulers in slots, at least
     * 1.
     */
    private double updateLoadShares(Settings settings) {
        double sum = Arrays.stream(pools).mapToDouble(PoolDealer::load).sum();
        if (sum > 0 && hasLoadShifted(sum)) {
            for (WorkerPool pool : pools) {
                double steps = Math.max(1, Math.rint(load(pool) / sum * LOAD_STEPS));
                pool.setLoadShare(steps / LOAD_STEPS);
            }
        }
        return Math.max(1, sum * settings.schedulers());
    }

    private boolean hasLoadShifted(double totalLoad) {
        for (WorkerPool pool : pools) {
            double change = Math.abs(load(pool) / totalLoad - pool.loadShare());
            if (change > HYSTERESIS_STEPS / LOAD_STEPS) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the load by kind and class. Load that any kind can run is spread over the kinds in
     * proportion to the slots that bound classes leave.
     */
    private double[][] loadsByKind(double totalLoad, List<List<Worker>> byKind) {
        double[][] loads = new double[slots.kinds()][pools.length];
        double[] left = new double[slots.kinds()];
        double totalLeft = 0;
        for (int kind = 0; kind < left.length; kind++) {
            left[kind] = addBoundLoads(loads[kind], kind, totalLoad, byKind.get(kind).size());
            totalLeft += left[kind];
        }
        for (int kind = 0; kind < left.length && totalLeft > 0; kind++) {
            for (int i = 0; i < pools.length; i++) {
                if (pools[i].jobClass().workerKind() < 0) {
                    loads[kind][i] = pools[i].loadShare() * totalLoad * left[kind] / totalLeft;
                }
            }
        }
        return loads;
    }

    /**
     * Sets the loads of the classes that only this kind can run; returns the slots of the kind that
     * are left to other classes.
     */
    private double addBoundLoads(double[] loads, int kind, double totalLoad, int workers) {
        double left = workers * slots.slotsOfKind(kind);
        for (int i = 0; i < pools.length; i++) {
            if (pools[i].jobClass().workerKind() == kind) {
                loads[i] = pools[i].loadShare() * totalLoad;
                left -= loads[i];
            }
        }
        return Math.max(left, MIN_SLOTS_LEFT_PER_WORKER * workers);
    }

    /**
     * Deals the workers of a kind in proportion to the loads of the classes; the last class gets
     * the rest.
     */
    private void dealKind(
            List<Worker> workers, double[] loads, List<List<Worker>> members, int zones) {
        double sum = Arrays.stream(loads).sum();
        int classesLeft = (int) Arrays.stream(loads).filter(load -> load > 0).count();
        List<Worker> left = new ArrayList<>(workers);
        for (int i = 0; i < loads.length; i++) {
            if (loads[i] == 0) {
                continue;
            }
            classesLeft--;
            int part = Math.max(1, (int) Math.floor(workers.size() * loads[i] / sum + 0.5));
            int count =
                    classesLeft == 0
                            ? left.size()
                            : Math.min(part, Math.max(0, left.size() - classesLeft));
            List<Worker> poolMembers = members.get(i);
            if (count == 0 && !workers.isEmpty() && poolMembers.isEmpty()) {
                // fewer workers than classes: this class shares the last worker
                poolMembers.add(workers.get(workers.size() - 1));
            }
            dealMembers(pools[i], poolMembers, left, count, zones);
        }
    }

    /**
     * Moves this many workers to a pool, each time the first one from the zone that has the fewest
     * members, so that the pool has workers in the zone of each scheduler.
     */
    private void dealMembers(
            WorkerPool pool, List<Worker> members, List<Worker> left, int count, int zones) {
        int[] byZone = new int[zones];
        members.forEach(worker -> byZone[worker.zone()]++);
        for (int dealt = 0; dealt < count; dealt++) {
            Worker worker =
                    Collections.min(
                            left, (one, other) -> byZone[one.zone()] - byZone[other.zone()]);
            byZone[worker.zone()]++;
            left.remove(worker);
            members.add(worker);
            pool.deal(worker, slots.slotsOf(worker));
        }
    }
}
