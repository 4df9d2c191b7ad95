package damsonslip.policy;

import damsonslip.policy.api.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;

/**
 * Deals the workers to the pools of the job classes by offered load, in the order of worker ids, so
 * that schedulers that share no state deal alike.
 *
 * <p>Not safe for use by several threads.
 */
final class PoolDealer {
    /**
     * Pools are sized in steps of the load, one in so many: schedulers with noisy estimates must
     * deal alike.
     */
    private static final double LOAD_STEPS = 16;

    /** Pools keep their size until a class's share of the load is off by so many steps. */
    private static final double HYSTERESIS_STEPS = 0.8;

    /** In overload, classes that any kind may run still count on this part of each worker. */
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
        // in overload, load that is bound to a kind must not take all of its workers
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

    /** Slots that a class keeps busy at its jobs from this scheduler: lambda / mu. */
    private static double load(WorkerPool pool) {
        return pool.arrivalRate().ownPerSecond()
                * pool.runTimes().meanUs()
                / MICROS_PER_SECOND
                * pool.slotsPerJob();
    }

    /** Updates the pools' shares of the load; returns the load from all schedulers, at least 1. */
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

    /** Returns the load of each kind by class. */
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

    /** Fills in the loads that only this kind can run; returns the slots that are left beside. */
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

    /** Deals the workers of a kind in parts proportional to the loads; the last class the rest. */
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
                // fewer workers than classes: it shares the last one
                poolMembers.add(workers.get(workers.size() - 1));
            }
            dealMembers(pools[i], poolMembers, left, count, zones);
        }
    }

    /**
     * Moves so many workers to a pool, each the first of the zone that the pool has least of, so
     * that some of it is near each scheduler.
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
