package damsonslip.faktory.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Batches of jobs and their callbacks. The completion callback is due when each job has been run
 * once, the success callback when each has succeeded; both only after the callbacks of nested
 * batches. The number of open jobs is read from the {@link JobTable}, so that a restart between two
 * writes cannot leave a wrong count. Not thread-safe.
 */
public final class BatchTable {
    /** Retention of a batch from its creation, whatever its state. */
    private static final long RETENTION_MS = TimeUnit.DAYS.toMillis(30);

    /** Retention of a batch that has ended, from its creation. */
    private static final long ENDED_RETENTION_MS = TimeUnit.HOURS.toMillis(1);

    private final JobTable jobTable;
    private final Map<String, Batch> all = new LinkedHashMap<>();
    private final Map<String, List<String>> children = new HashMap<>();

    /** Creates an empty table, which reads the number of open jobs from the job table. */
    public BatchTable(JobTable jobTable) {
        this.jobTable = jobTable;
    }

    /** The batch of this id, or null. */
    public Batch get(String bid) {
        return all.get(bid);
    }

    /** The number of batches. */
    public int size() {
        return all.size();
    }

    /** Adds a batch, a new one or one from the store. */
    public void add(Batch batch) {
        if (all.put(batch.bid(), batch) == null && !batch.parent().isEmpty()) {
            children.computeIfAbsent(batch.parent(), bid -> new ArrayList<>()).add(batch.bid());
        }
    }

    /** Why no job may be pushed into a batch now; null if one may. */
    public String rejectionReason(String bid) {
        Batch batch = all.get(bid);
        if (batch == null) {
            return "no such batch: " + bid;
        }
        return batch.committed() ? "batch " + bid + " is committed; open it first" : null;
    }

    /** Counts a job that was pushed into a batch. */
    public Batch countPushedJob(String bid) {
        Batch batch = all.get(bid);
        return replace(batch.withTotal(batch.total() + 1));
    }

    /**
     * Corrects the totals after the recovery from the store: no batch has fewer jobs than were
     * found. A stop may have come between recording a job, which acknowledges its push, and
     * recording its batch.
     */
    public void correctTotals() {
        all.replaceAll((bid, batch) -> batch.withTotal(Math.max(batch.total(), pendingJobs(bid))));
    }

    /** Opens a batch for further jobs; returns null if its completion callback has become due. */
    public Batch open(String bid) {
        Batch batch = all.get(bid);
        return batch == null || batch.onComplete() != CallbackState.NOT_YET
                ? null
                : replace(batch.withCommitted(false));
    }

    /** Commits a batch: its creator has finished pushing jobs; returns null if it is unknown. */
    public Batch commit(String bid) {
        Batch batch = all.get(bid);
        return batch == null ? null : replace(batch.withCommitted(true));
    }

    private Batch replace(Batch next) {
        all.put(next.bid(), next);
        return next;
    }

    /**
     * The callbacks, of this batch and of those around it, that a change of it or its jobs has made
     * due.
     */
    public List<DueCallback> collectDueCallbacks(String bid) {
        List<DueCallback> due = new ArrayList<>();
        String current = bid;
        int depth = 0; // bounded, as parents might form a cycle
        while (depth <= all.size() && all.containsKey(current)) {
            collectDueCallbacks(current, due);
            current = all.get(current).parent();
            depth++;
        }
        return due;
    }

    private void collectDueCallbacks(String bid, List<DueCallback> due) {
        if (isComplete(bid)) {
            due.add(setDue(all.get(bid), false));
        }
        if (isSuccessful(bid)) {
            due.add(setDue(all.get(bid), true));
        }
    }

    /** Whether a batch's completion callback is to become due. */
    private boolean isComplete(String bid) {
        Batch batch = all.get(bid);
        return batch.onComplete() == CallbackState.NOT_YET
                && batch.committed()
                && jobTable.batchCounts(bid).neverFailed() == 0
                && nestedIn(bid).stream()
                        .allMatch(nested -> nested.onComplete() == CallbackState.DONE);
    }

    /** Whether a batch's success callback is to become due. */
    private boolean isSuccessful(String bid) {
        Batch batch = all.get(bid);
        return batch.onSuccess() == CallbackState.NOT_YET
                && batch.onComplete() != CallbackState.NOT_YET
                && pendingJobs(bid) == 0
                && nestedIn(bid).stream()
                        .allMatch(nested -> nested.onSuccess() == CallbackState.DONE);
    }

    private DueCallback setDue(Batch batch, boolean isSuccess) {
        boolean hasCallback = !(isSuccess ? batch.success() : batch.complete()).isEmpty();
        CallbackState state = hasCallback ? CallbackState.DUE : CallbackState.DONE;
        return new DueCallback(replace(batch.withCallbackState(isSuccess, state)), isSuccess);
    }

    /** Records that a callback has succeeded; returns the batch, or null if it is unknown. */
    public Batch markCallbackDone(String bid, boolean isSuccess) {
        Batch batch = all.get(bid);
        return batch == null
                ? null
                : replace(batch.withCallbackState(isSuccess, CallbackState.DONE));
    }

    private List<Batch> nestedIn(String bid) {
        return children.getOrDefault(bid, List.of()).stream()
                .map(all::get)
                .filter(Objects::nonNull)
                .toList();
    }

    /** Callbacks that are due and not done: a stop may have come before they were pushed. */
    public List<DueCallback> unfinishedCallbacks() {
        List<DueCallback> found = new ArrayList<>();
        for (Batch batch : all.values()) {
            if (batch.onComplete() == CallbackState.DUE) {
                found.add(new DueCallback(batch, false));
            }
            if (batch.onSuccess() == CallbackState.DUE) {
                found.add(new DueCallback(batch, true));
            }
        }
        return found;
    }

    /** All batches, in the order of their creation or recovery. */
    public List<Batch> all() {
        return List.copyOf(all.values());
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
     * Removes batches that have ended and are an hour old, or have reached their retention; returns
     * their ids.
     */
    public List<String> removeExpired(long nowMs) {
        List<String> removed = new ArrayList<>();
        for (Batch batch : List.copyOf(all.values())) {
            long retentionMs = hasEnded(batch) ? ENDED_RETENTION_MS : RETENTION_MS;
            if (batch.createdMs() + retentionMs < nowMs) {
                remove(batch);
                removed.add(batch.bid());
            }
        }
        return removed;
    }

    private boolean hasEnded(Batch batch) {
        return batch.onSuccess() == CallbackState.DONE
                && !all.containsKey(batch.parent())
                && nestedIn(batch.bid()).isEmpty();
    }

    private void remove(Batch batch) {
        all.remove(batch.bid());
        children.remove(batch.bid());
        List<String> siblings = children.get(batch.parent());
        if (siblings != null) {
            siblings.remove(batch.bid());
        }
    }

    /** Removes all batches. */
    public void clear() {
        all.clear();
        children.clear();
    }
}
