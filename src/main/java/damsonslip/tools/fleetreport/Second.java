package damsonslip.tools.fleetreport;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Totals over all schedulers for one second. */
final class Second {
    /** Counted events. The report has a column for each, headed by the constant's name. */
    enum Sum {
        TAKEN,
        SERVED,
        LATE,
        REFUSED,
        GIVEN_UP,
        OUT_OF_TIME,
        BROKEN,
        FAILED,
        DUE_BACK,
        SENT,
        AGAIN,
        MOVED,
        ERRORS,
        LINKS,
        IDLE_CLOSED,
        PROBES,
        LIST_CALLS,
        LIST_FAILURES,
        TO_COLD
    }

    /** Largest number of rejected clients whose Retry-After ends in the same 100 ms. */
    int maxRetryBurst;

    final long[] sums = new long[Sum.values().length];

    /** Names of the schedulers that wrote a line in this second. */
    final Set<String> schedulers = new HashSet<>();

    /** Age of the oldest worker list that a scheduler used, in microseconds. */
    long maxListAgeUs;

    /** What the schedulers reported of each pool, by the pool's job class. */
    final Map<String, Pool> pools = new TreeMap<>();

    /** A pool's workers by scheduler, and the range of the reported rates and shares. */
    static final class Pool {
        private final Map<String, Set<String>> members = new TreeMap<>();
        double minRate = Double.MAX_VALUE;
        double maxRate;
        double minShare = Double.MAX_VALUE;
        double maxShare;

        void add(String scheduler, TraceLine line) {
            members.put(scheduler, Set.of(line.text("has").split(",")));
            minRate = Math.min(minRate, line.number("rate"));
            maxRate = Math.max(maxRate, line.number("rate"));
            minShare = Math.min(minShare, line.number("share"));
            maxShare = Math.max(maxShare, line.number("share"));
        }

        /**
         * Returns the fraction of workers that all schedulers assign to the pool, out of those that
         * at least one scheduler assigns to it.
         */
        double agreement() {
            Set<String> union = new HashSet<>();
            Set<String> intersection = null;
            for (Set<String> workers : members.values()) {
                union.addAll(workers);
                if (intersection == null) {
                    intersection = new HashSet<>(workers);
                } else {
                    intersection.retainAll(workers);
                }
            }
            return union.isEmpty() ? 1 : (double) intersection.size() / union.size();
        }
    }

    void add(Sum sum, long count) {
        sums[sum.ordinal()] += count;
    }

    long get(Sum sum) {
        return sums[sum.ordinal()];
    }
}
