package damsonslip.policy;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Consistent hashing: an affinity key keeps its workers when others are added or removed. */
final class HashRing {
    private static final long POINT_STEP = 0x9E3779B97F4A7C15L;
    private static final long AFFINITY_SALT = 0x632BE59BD9B4E019L;

    private HashRing() {}

    /**
     * Returns the members in the order of their points on the ring; each occurs once for each of
     * its points.
     */
    static Worker[] of(List<Worker> members, int pointsEach) {
        long[] points = new long[members.size() * pointsEach];
        Map<Long, Worker> owners = new HashMap<>();
        int count = 0;
        for (Worker worker : members) {
            for (int i = 0; i < pointsEach; i++) {
                long point = mix(worker.id().hashCode() * 31L + i * POINT_STEP);
                points[count++] = point;
                owners.putIfAbsent(point, worker);
            }
        }
        Arrays.sort(points);
        return Arrays.stream(points).mapToObj(owners::get).toArray(Worker[]::new);
    }

    /** Hashes an affinity key. */
    static long hashOfAffinityKey(long affinityKey) {
        return mix(affinityKey + AFFINITY_SALT);
    }

    /** A 64-bit finalizer (as in SplitMix64) that spreads neighbouring numbers. */
    static long mix(long value) {
        long once = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        long twice = (once ^ (once >>> 27)) * 0x94D049BB133111EBL;
        return twice ^ (twice >>> 31);
    }
}
