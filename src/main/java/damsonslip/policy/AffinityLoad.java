package damsonslip.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the recent jobs of each affinity key, with exponential decay.
 *
 * <p>Times are microseconds of the events' clock. Not safe for use by several threads.
 */
final class AffinityLoad {
    /** Time constant of the decay. */
    static final double DECAY_US = 10e6;

    /** Keys with fewer recent jobs than this are dropped. */
    private static final double NEGLIGIBLE_JOBS = 0.1;

    private final Map<Long, RecentJobs> byKey = new HashMap<>();

    /** Counts a job with this key and returns the key's number of recent jobs. */
    double countJob(Long affinityKey, long nowUs) {
        RecentJobs recent = byKey.computeIfAbsent(affinityKey, key -> new RecentJobs());
        recent.count = recent.count(nowUs) + 1;
        recent.countedAtUs = nowUs;
        return recent.count;
    }

    /** Drops the keys whose number of recent jobs is negligible. */
    void removeNegligible(long nowUs) {
        byKey.values().removeIf(recent -> recent.count(nowUs) < NEGLIGIBLE_JOBS);
    }

    /** Whether no key has recent jobs. */
    boolean isEmpty() {
        return byKey.isEmpty();
    }

    private static final class RecentJobs {
        private double count;
        private long countedAtUs;

        private double count(long nowUs) {
            return count * Math.exp((countedAtUs - nowUs) / DECAY_US);
        }
    }
}
