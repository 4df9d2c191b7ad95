package damsonslip.faktory.jobs;

import damsonslip.store.JobRecord;
import java.util.HashMap;
import java.util.Map;

/** The locks of unique jobs: at most one open job holds a key at a time. Not thread-safe. */
final class UniqueLocks {
    private record Lock(String jobId, long untilMs) {}

    private final Map<String, Lock> locks = new HashMap<>();

    /** Acquires a job's lock, if it has a key; returns false if another open job holds it. */
    boolean lock(String jobId, JobRecord.Options options, long nowMs) {
        if (options.uniqueKey().isEmpty()) {
            return true;
        }
        Lock holder = locks.get(options.uniqueKey());
        if (holder != null && holder.untilMs > nowMs && !holder.jobId.equals(jobId)) {
            return false;
        }
        locks.put(options.uniqueKey(), new Lock(jobId, options.uniqueUntilMs()));
        return true;
    }

    /**
     * Restores the lock of a job that is added to the table, unless it was released at its start.
     */
    void restore(JobRecord record) {
        JobRecord.Options options = record.options();
        boolean releasedAtStart = options.uniqueUntilStart() && !record.hasNeverRun();
        if (!options.uniqueKey().isEmpty() && !releasedAtStart) {
            locks.putIfAbsent(options.uniqueKey(), new Lock(record.id(), options.uniqueUntilMs()));
        }
    }

    /** Releases a job's lock, if the job holds it. */
    void unlock(String jobId, JobRecord.Options options) {
        locks.computeIfPresent(
                options.uniqueKey(), (key, holder) -> holder.jobId.equals(jobId) ? null : holder);
    }

    /** Removes locks that have expired; a full scan, since few jobs are unique. */
    void removeExpired(long nowMs) {
        locks.values().removeIf(lock -> lock.untilMs <= nowMs);
    }
}
