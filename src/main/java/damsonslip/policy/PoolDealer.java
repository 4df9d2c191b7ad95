package damsonslip.policy;

import damsonslip.policy.FleetState.Pool;
import damsonslip.policy.FleetState.Worker;
import damsonslip.policy.api.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;

/**
 * Cuts the workers into the pools of the job classes, by offered load and in the order of their
 * ids, so that dispatchers that share nothing cut alike (the design's ordinary path).
 *
 * <p>Decides from what {@link Pool} and {@link Worker} hold, and fills in which pool a worker
 * belongs to. Not safe for use by several threads.
 */
final class PoolDealer {
    /**
     * Pools are cut by parts of the load on this grid: dispatchers with noisy estimates must cut
     * alike.
     */
    private static final double GRID = 16;

    /**
     * A class's part of the load must leave its grid point by this many steps before pools are cut
     * anew.
     */
    private static final double MOVE = 0.8;

    /**
     * In overload, classes without a kind of their own still count as having this part of each
     * worker.
     */
    private static final double LEAST_LEFT = 0.1;

    private static final double SECOND = 1e6;

    private final Pool[] pools;

    PoolDealer(Pool[] pools) {
        this.pools = pools;
    }

    /**
     * Deals these workers to the pools; gives each pool's members, by class.
     *
     * @param running the workers to deal, in the order of their ids
     * @param kindSlots the slots of a worker of each kind
     */
    List<List<Worker>> deal(List<Worker> running, int[] kindSlots, Settings settings) {
        double all = settle(settings);
        List<List<Worker>> byKind = lists(kindSlots.length);
        running.forEach(w -> byKind.get(w.kind).add(w));
        // in overload bound load must not take its kind whole
        double most = running.stream().mapToDouble(w -> w.slots(kindSlots)).sum();
        double[][] loads = loadsByKind(Math.min(all, most), byKind, kindSlots);
        List<List<Worker>> members = lists(pools.length);
        Arrays.stream(pools).forEach(pool -> pool.slots = 0);
        for (int k = 0; k < kindSlots.length; k++) {
            dealKind(byKind.get(k), loads[k], members, kindSlots, settings.zones());
        }
        return members;
    }

    private static List<List<Worker>> lists(int count) {
        return Stream.generate(() -> (List<Worker>) new ArrayList<Worker>()).limit(count).toList();
    }

    /** Slots that a class keeps busy at this dispatcher's part of it: lambda / mu. */
    private static double load(Pool pool) {
        return pool.steady * pool.time / SECOND * pool.slotsPerJob;
    }

    /**
     * Sets the parts of the load by which pools are cut; gives the load of all dispatchers. Pools
     * keep their size until a class's part of the load has clearly moved: subjects move with it.
     */
    private double settle(Settings settings) {
        double sum = Arrays.stream(pools).mapToDouble(PoolDealer::load).sum();
        if (sum > 0
                && Arrays.stream(pools)
                        .anyMatch(p -> Math.abs(load(p) / sum - p.dealt) > MOVE / GRID)) {
            for (Pool pool : pools) {
                pool.dealt = Math.max(1, Math.rint(load(pool) / sum * GRID)) / GRID;
            }
        }
        return Math.max(1, sum * settings.schedulers());
    }

    /** Bound load claims its kind first; unbound load spreads over what is left of each kind. */
    private double[][] loadsByKind(double all, List<List<Worker>> byKind, int[] kindSlots) {
        double[][] loads = new double[kindSlots.length][pools.length];
        double[] left = new double[kindSlots.length];
        double room = 0;
        for (int k = 0; k < left.length; k++) {
            left[k] = byKind.get(k).size() * kindSlots[k];
            for (int i = 0; i < pools.length; i++) {
                if (pools[i].of.workerKind() == k) {
                    loads[k][i] = pools[i].dealt * all;
                    left[k] -= loads[k][i];
                }
            }
            left[k] = Math.max(left[k], LEAST_LEFT * byKind.get(k).size());
            room += left[k];
        }
        for (int k = 0; k < left.length && room > 0; k++) {
            for (int i = 0; i < pools.length; i++) {
                if (pools[i].of.workerKind() < 0) {
                    loads[k][i] = pools[i].dealt * all * left[k] / room;
                }
            }
        }
        return loads;
    }

    /**
     * n = floor(N rho / sum rho + 0.5) in sorted id order, the last class the rest, one worker at
     * least.
     */
    private void dealKind(
            List<Worker> sorted,
            double[] loads,
            List<List<Worker>> members,
            int[] kindSlots,
            int zoneCount) {
        double sum = Arrays.stream(loads).sum();
        int classes = (int) Arrays.stream(loads).filter(load -> load > 0).count();
        List<Worker> rest = new ArrayList<>(sorted);
        for (int i = 0; i < loads.length; i++) {
            if (loads[i] == 0) {
                continue;
            }
            int n = Math.max(1, (int) Math.floor(sorted.size() * loads[i] / sum + 0.5));
            n = --classes == 0 ? rest.size() : Math.min(n, Math.max(0, rest.size() - classes));
            if (n == 0 && !sorted.isEmpty() && members.get(i).isEmpty()) {
                members.get(i).add(sorted.get(sorted.size() - 1)); // fewer workers than classes
            }
            int[] zones = new int[zoneCount];
            members.get(i).forEach(w -> zones[w.zone]++);
            for (int taken = 0; taken < n; taken++) {
                // the first by id of the zone that the pool has least of: some of it is near each
                // dispatcher
                Worker w =
                        Collections.min(rest, (one, other) -> zones[one.zone] - zones[other.zone]);
                zones[w.zone]++;
                rest.remove(w);
                members.get(i).add(w);
                w.pool = pools[i];
                pools[i].slots += w.slots(kindSlots);
            }
        }
    }
}
