package damsonslip.faktory.jobs;

import damsonslip.store.JobRecord;
import damsonslip.store.JobRecord.State;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The sets that are sorted by time: scheduled jobs, jobs that wait for a retry, and dead jobs. Not
 * thread-safe.
 */
final class TimedSets {
    private record DueTime(long atMs, String jobId) implements Comparable<DueTime> {
        @Override
        public int compareTo(DueTime other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : jobId.compareTo(other.jobId);
        }
    }

    private final Map<State, NavigableMap<DueTime, JobEntry>> sets = new EnumMap<>(State.class);

    TimedSets() {
        for (State state : List.of(State.SCHEDULED, State.RETRY, State.DEAD)) {
            sets.put(state, new TreeMap<>());
        }
    }

    void add(JobEntry entry) {
        JobRecord record = entry.record();
        sets.get(record.state()).put(new DueTime(record.dueMs(), record.id()), entry);
    }

    void remove(JobEntry entry) {
        JobRecord record = entry.record();
        sets.get(record.state()).remove(new DueTime(record.dueMs(), record.id()));
    }

    /** The size of the set for a state; 0 if there is no such set. */
    int size(State state) {
        return sets.containsKey(state) ? sets.get(state).size() : 0;
    }

    /** The jobs of the set for a state, the earliest first. */
    Collection<JobEntry> jobs(State state) {
        return List.copyOf(sets.get(state).values());
    }

    /** The jobs that are due, up to the limit; see {@link JobTable#due}. */
    List<JobEntry> due(long nowMs, int limit) {
        List<JobEntry> entries = new ArrayList<>();
        for (State state : List.of(State.RETRY, State.SCHEDULED)) {
            for (Map.Entry<DueTime, JobEntry> dueEntry : sets.get(state).entrySet()) {
                if (dueEntry.getKey().atMs > nowMs || entries.size() >= limit) {
                    break;
                }
                entries.add(dueEntry.getValue());
            }
        }
        return entries;
    }

    /**
     * Dead jobs beyond the retention period or the limit on their number, the oldest first.
     *
     * @param maxDead the limit on their number
     * @param retentionMs the retention period, in milliseconds
     */
    List<JobEntry> expiredDead(long nowMs, int maxDead, long retentionMs) {
        List<JobEntry> expired = new ArrayList<>();
        int surplus = size(State.DEAD) - maxDead;
        for (Map.Entry<DueTime, JobEntry> deadEntry : sets.get(State.DEAD).entrySet()) {
            boolean isExpired = deadEntry.getKey().atMs + retentionMs <= nowMs;
            if (expired.size() >= surplus && !isExpired) {
                break;
            }
            expired.add(deadEntry.getValue());
        }
        return expired;
    }
}
