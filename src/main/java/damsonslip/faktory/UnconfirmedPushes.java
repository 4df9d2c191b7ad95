package damsonslip.faktory;

import damsonslip.engine.EventLoop;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.StoreOperation;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Pushes whose write to the store failed, so that the producer got an error, although the store may
 * have recorded the job. Such a job is deleted unless the producer repeats the push. Confined to
 * the event loop.
 */
final class UnconfirmedPushes {
    private static final long RETRY_DELAY_US = 500_000;

    private final EventLoop loop;
    private final AsyncStore store;
    private final JobTable jobTable;

    /** The number of pushes that the store has not answered yet, by job id. */
    private final Map<String, Integer> pendingAdds = new HashMap<>();

    /** The records that the store may have recorded, by job id. */
    private final Map<String, Set<JobRecord>> unconfirmed = new HashMap<>();

    UnconfirmedPushes(EventLoop loop, AsyncStore store, JobTable jobTable) {
        this.loop = loop;
        this.store = store;
        this.jobTable = jobTable;
    }

    /** Called when a push is submitted to the store. */
    void addStarted(String jid) {
        pendingAdds.merge(jid, 1, Integer::sum);
    }

    /** Called when the write of a push has succeeded or failed. */
    void addEnded(String jid) {
        pendingAdds.computeIfPresent(jid, (id, count) -> count == 1 ? null : count - 1);
    }

    /**
     * Called when the write of a push has failed; the store may have recorded the job nevertheless.
     */
    void addFailed(JobRecord record) {
        Set<JobRecord> records = unconfirmed.computeIfAbsent(record.id(), id -> new HashSet<>());
        if (records.isEmpty()) {
            loop.scheduleAfter(RETRY_DELAY_US, () -> delete(record.id()));
        }
        records.add(record);
    }

    /**
     * Marks a job that the store is known to have as confirmed; returns the records that were
     * unconfirmed.
     */
    Set<JobRecord> confirm(String jid) {
        Set<JobRecord> records = unconfirmed.remove(jid);
        return records == null ? Set.of() : records;
    }

    /**
     * Deletes a job that the store may have recorded, so that a push answered with an error does
     * not run.
     */
    private void delete(String jid) {
        Set<JobRecord> records = unconfirmed.get(jid);
        if (records != null) {
            store.submit(
                    new StoreOperation.Get(jid),
                    found -> deleteIfUnconfirmed(jid, records, found),
                    () -> loop.scheduleAfter(RETRY_DELAY_US, () -> delete(jid)));
        }
    }

    private void deleteIfUnconfirmed(String jid, Set<JobRecord> records, JobRecord found) {
        if (!isCurrent(jid, records)) {
            return; // pushed again and accepted in the meantime
        }
        if (pendingAdds.containsKey(jid)) { // being pushed again; the result of that push decides
            loop.scheduleAfter(RETRY_DELAY_US, () -> delete(jid));
            return;
        }
        unconfirmed.remove(jid);
        if (records.contains(found) && jobTable.get(jid) == null) {
            store.delete(List.of(jid)); // comes before any later push of the job
        }
    }

    @SuppressWarnings("ReferenceEquality") // a later failed push of the job may have an equal set
    private boolean isCurrent(String jid, Set<JobRecord> records) {
        return unconfirmed.get(jid) == records;
    }
}
