package damsonslip.faktory.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Batches of jobs and their callbacks. The completion callback becomes due once every job has ended
 * or has failed at least once, the success callback once no job is open any more; each also waits
 * for the same callback of all nested batches. The number of open jobs is not stored but counted by
 * the {@link JobTable}, so that a restart between two writes cannot leave a wrong count. Not
 * thread-safe.
 */
public final class BatchTable {
    /** Maximum age of a batch, in whatever state. */
    private static final long MAX_AGE_MS = TimeUnit.DAYS.toMillis(30);

    /** Maximum age of a batch that has ended; also counted from its creation. */
    private static final long ENDED_MAX_AGE_MS = TimeUnit.HOURS.toMillis(1);

    private final JobTable jobTable;
    private final Map<String, Batch> byId = new LinkedHashMap<>();
    private final Map<String, List<String>> childIds = new HashMap<>();

    /** Creates an empty table that reads job counts from the given job table. */
    public BatchTable(JobTable jobTable) {
        this.jobTable = jobTable;
    }

    /** The batch of this id, or null. */
    public Batch get(String bid) {
        return byId.get(bid);
    }

    /** The number of batches. */
    public int size() {
        return byId.size();
    }

    /** Adds a new batch, or one loaded from the store. */
    public void add(Batch batch) {
        if (byId.put(batch.bid(), batch) == null && !batch.parent().isEmpty()) {
            childIds.computeIfAbsent(batch.parent(), bid -> new ArrayList<>()).add(batch.bid());
        }
    }

    /** The reason why no job can be pushed into a batch now; null if jobs are accepted. */
    public String rejectionReason(String bid) {
        Batch batch = byId.get(bid);
        if (batch == null) {
            return "no such batch: " + bid;
        }
        return batch.committed() ? "batch " + bid + " is committed; open it first" : null;
    }

    /** Adds a pushed job to the total of its batch; returns the changed batch. */
    public Batch countPushedJob(String bid) {
        Batch batch = byId.get(bid);
        return replace(batch.withTotal(batch.total() + 1));
    }

    /**
     * Raises totals that are too low after recovery: a batch has at least as many jobs as were
     * found in the store. The process may have stopped after a job was recorded, which acknowledges
     * its push, and before the new total of its batch was.
     */
    public void correctTotals() {
        byId.replaceAll((bid, batch) -> batch.withTotal(Math.max(batch.total(), pendingJobs(bid))));
    }

    /**
     * Reopens a batch for further jobs; returns null if it is unknown, or if its completion
     * callback has already become due.
     */
    public Batch open(String bid) {
        Batch batch = byId.get(bid);
        return batch == null || batch.onComplete() != CallbackState.NOT_YET
                ? null
                : replace(batch.withCommitted(false));
    }

    /** Commits a batch, to which no more jobs are pushed; returns null if it is unknown. */
    public Batch commit(String bid) {
        Batch batch = byId.get(bid);
        return batch == null ? null : replace(batch.withCommitted(true));
    }

    private Batch replace(Batch batch) {
        byId.put(batch.bid(), batch);
        return batch;
    }

    /**
     * Marks the callbacks that a change of this batch or its jobs has made due, in this batch and
     * in the batches that enclose it, and returns them.
     */
    public List<DueCallback> collectDueCallbacks(String bid) {
        List<DueCallback> due = new ArrayList<>();
        String current = bid;
        int depth = 0; // bounded, since parents come from clients and may form a cycle
        while (depth <= byId.size() && byId.containsKey(current)) {
            collectDueCallbacks(current, due);
            current = byId.get(current).parent();
            depth++;
        }
        return due;
    }

    private void collectDueCallbacks(String bid, List<DueCallback> due) {
        if (isComplete(bid)) {
            due.add(markDue(byId.get(bid), false));
        }
        if (isSuccessful(bid)) {
            due.add(markDue(byId.get(bid), true));
        }
    }

    /** Whether a batch's completion callback, not yet due, has its condition met. */
    private boolean isComplete(String bid) {
        Batch batch = byId.get(bid);
        return batch.onComplete() == CallbackState.NOT_YET
                && batch.committed()
                && jobTable.batchCounts(bid).neverFailed() == 0
                && nestedIn(bid).stream()
                        .allMatch(nested -> nested.onComplete() == CallbackState.DONE);
    }

    /** Whether a batch's success callback, not yet due, has its condition met. */
    private boolean isSuccessful(String bid) {
        Batch batch = byId.get(bid);
        return batch.onSuccess() == CallbackState.NOT_YET
                && batch.onComplete() != CallbackState.NOT_YET
                && pendingJobs(bid) == 0
                && nestedIn(bid).stream()
                        .allMatch(nested -> nested.onSuccess() == CallbackState.DONE);
    }

    private DueCallback markDue(Batch batch, boolean isSuccess) {
        boolean hasCallback = !(isSuccess ? batch.success() : batch.complete()).isEmpty();
        CallbackState state = hasCallback ? CallbackState.DUE : CallbackState.DONE;
        return new DueCallback(replace(batch.withCallbackState(isSuccess, state)), isSuccess);
    }

    /**
     * Records that a callback has succeeded; returns the changed batch, or null if it is unknown.
     */
    public Batch markCallbackDone(String bid, boolean isSuccess) {
        Batch batch = byId.get(bid);
        return batch == null
                ? null
                : replace(batch.withCallbackState(isSuccess, CallbackState.DONE));
    }

    private List<Batch> nestedIn(String bid) {
        return childIds.getOrDefault(bid, List.of()).stream()
                .map(byId::get)
                .filter(Objects::nonNull)
                .toList();
    }

    /**
     * Callbacks that are due but not done. They may have been pushed before the last stop or not.
     */
    public List<DueCallback> unfinishedCallbacks() {
        List<DueCallback> unfinished = new ArrayList<>();
        for (Batch batch : byId.values()) {
            if (batch.onComplete() == CallbackState.DUE) {
                unfinished.add(new DueCallback(batch, false));
            }
            if (batch.onSuccess() == CallbackState.DUE) {
                unfinished.add(new DueCallback(batch, true));
            }
        }
        return unfinished;
    }

    /** All batches in the order of their creation or recovery. */
    public List<Batch> all() {
        return List.copyOf(byId.values());
    }

    /** The number of open jobs in a batch. */
    public int pendingJobs(String bid) {
        return jobTable.batchCounts(bid).open();
    }

    /** The number of open jobs in a batch that have failed at least once. */
    public int failedJobs(String bid) {
        BatchCounters.Counts jobs = jobTable.batchCounts(bid);
        return jobs.open() - jobs.neverFailed();
    }

    /**
     * Removes batches that have reached their maximum age, which is shorter for those that have
     * ended; returns their ids.
     */
    public List<String> removeExpired(long nowMs) {
        List<String> removed = new ArrayList<>();
        for (Batch batch : List.copyOf(byId.values())) {
            long maxAgeMs = hasEnded(batch) ? ENDED_MAX_AGE_MS : MAX_AGE_MS;
            if (batch.createdMs() + maxAgeMs < nowMs) {
                remove(batch);
                removed.add(batch.bid());
            }
        }
        return removed;
    }

    private boolean hasEnded(Batch batch) {
        return batch.onSuccess() == CallbackState.DONE
                && !byId.containsKey(batch.parent())
                && nestedIn(batch.bid()).isEmpty();
    }

    private void remove(Batch batch) {
        byId.remove(batch.bid());
        childIds.remove(batch.bid());
        List<String> siblings = childIds.get(batch.parent());
        if (siblings != null) {
            siblings.remove(batch.bid());
        }
    }

    /** Removes all batches. */
    public void clear() {
        byId.clear();
        childIds.clear();
    }
}
