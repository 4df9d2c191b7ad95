package damsonslip.policy;

import damsonslip.policy.FleetState.Worker;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An index of workers by hashed points: a subject finds the same ones although members come and go.
 */
final class HashRing {
    private HashRing() {}

    /** The members in the order of their points, each as often as it has points. */
    static Worker[] of(List<Worker> members, int pointsEach) {
        long[] points = new long[members.size() * pointsEach];
        Map<Long, Worker> owner = new HashMap<>();
        int at = 0;
        for (Worker w : members) {
            for (int p = 0; p < pointsEach; p++) {
                long point = mix(w.id.hashCode() * 31L + p * 0x9E3779B97F4A7C15L);
                points[at++] = point;
                owner.putIfAbsent(point, w);
            }
        }
        Arrays.sort(points);
        return Arrays.stream(points).mapToObj(owner::get).toArray(Worker[]::new);
    }

    /** A hash that spreads neighbouring numbers. */
    static long mix(long z) {
        long once = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        long twice = (once ^ (once >>> 27)) * 0x94D049BB133111EBL;
        return twice ^ (twice >>> 31);
    }
}
