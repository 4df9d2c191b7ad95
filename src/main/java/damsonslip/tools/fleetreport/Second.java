package damsonslip.tools.fleetreport;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What all schedulers together did in one second. */
final class Second {
    /** What is added up in it; the report has a column for each. */
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

    /** Clients that were told to come back in the same tenth of it, at the most. */
    int crowd;

    final long[] sums = new long[Sum.values().length];
    final Set<String> serving = new HashSet<>();

    /** The oldest list that a scheduler decided by, in microseconds of its age. */
    long oldestListUs;

    /** By pool: how each scheduler cut it, and the least and the most that one of them says. */
    final Map<String, Cut> cuts = new TreeMap<>();

    static final class Cut {
        private final Map<String, Set<String>> members = new TreeMap<>();
        double leastRate = Double.MAX_VALUE;
        double mostRate;
        double leastShare = Double.MAX_VALUE;
        double mostShare;

        void add(String scheduler, Line pool) {
            members.put(scheduler, Set.of(pool.text("has").split(",")));
            leastRate = Math.min(leastRate, pool.number("rate"));
            mostRate = Math.max(mostRate, pool.number("rate"));
            leastShare = Math.min(leastShare, pool.number("share"));
            mostShare = Math.max(mostShare, pool.number("share"));
        }

        /**
         * The part of its workers that all schedulers count to the pool, of those that any does.
         */
        double alike() {
            Set<String> any = new HashSet<>();
            Set<String> all = null;
            for (Set<String> each : members.values()) {
                any.addAll(each);
                if (all == null) {
                    all = new HashSet<>(each);
                } else {
                    all.retainAll(each);
                }
            }
            return any.isEmpty() ? 1 : (double) all.size() / any.size();
        }
    }

    void add(Sum sum, long count) {
        sums[sum.ordinal()] += count;
    }

    long get(Sum sum) {
        return sums[sum.ordinal()];
    }
}
