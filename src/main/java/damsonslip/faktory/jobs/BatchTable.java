package damsonslip.faktory.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Batches of jobs and their callbacks. The completion callback is due when each job has been run
 * once, the success callback when each has succeeded; both only after the callbacks of nested
 * batches. The number of open jobs is read from the {@link JobTable}, so that a restart between two
 * writes cannot leave a wrong count. Not thread-safe.
 */
public final class BatchTable {
    /** Retention of a batch from its creation, whatever its state. */
    public static final long RETENTION_MS = 30L * 24 * 3600 * 1000;

    /** Retention of a batch that has ended, from its creation. */
    private static final long ENDED_RETENTION_MS = 3_600_000;

    /** The state of a callback. */
    public enum CallbackState {
        NOT_YET,
        DUE,
        DONE
    }

    /**
     * A batch.
     *
     * @param bid its id
     * @param parent the id of the enclosing batch; empty if there is none
     * @param description a text of its creator
     * @param success the success callback, a job as JSON; empty if there is none
     * @param complete the completion callback, a job as JSON; empty if there is none
     * @param committed whether its creator has finished pushing jobs
     * @param total the number of jobs pushed into it
     * @param onComplete the state of the completion callback
     * @param onSuccess the state of the success callback
     * @param createdMs when it was created, in milliseconds since the Unix epoch
     */
    public record Batch(
            String bid,
            String parent,
            String description,
            String success,
            String complete,
            boolean committed,
            int total,
            CallbackState onComplete,
            CallbackState onSuccess,
            long createdMs) {
        private Batch committed(boolean is) {
            return new Batch(
                    bid,
                    parent,
                    description,
                    success,
                    complete,
                    is,
                    total,
                    onComplete,
                    onSuccess,
                    createdMs);
        }

        private Batch total(int jobs) {
            return new Batch(
                    bid,
                    parent,
                    description,
                    success,
                    complete,
                    committed,
                    jobs,
                    onComplete,
                    onSuccess,
                    createdMs);
        }

        private Batch withCallback(boolean ofSuccess, CallbackState now) {
            return new Batch(
                    bid,
                    parent,
                    description,
                    success,
                    complete,
                    committed,
                    total,
                    ofSuccess ? onComplete : now,
                    ofSuccess ? now : onSuccess,
                    createdMs);
        }

        /**
         * The job id of a callback: the same at each attempt, so that the callback is pushed once.
         */
        public String callbackJobId(boolean ofSuccess) {
            return bid + (ofSuccess ? "-success" : "-complete");
        }
    }

    /**
     * A callback that has become due.
     *
     * @param batch the batch in its new state
     * @param success whether it is the success callback
     */
    public record DueCallback(Batch batch, boolean success) {
        /** The callback as JSON; empty if the batch has none. */
        public String job() {
            return success ? batch.success() : batch.complete();
        }
    }

    private final JobTable jobTable;
    private final Map<String, Batch> all = new LinkedHashMap<>();
    private final Map<String, List<String>> children = new HashMap<>();

    public BatchTable(JobTable jobTable) {
        this.jobTable = jobTable;
    }

    public Batch get(String bid) {
        return all.get(bid);
    }

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
        return batch == null
                ? "no such batch: " + bid
                : batch.committed() ? "batch " + bid + " is committed; open it first" : null;
    }

    /** Counts a job that was pushed into a batch. */
    public Batch countPushedJob(String bid) {
        return change(all.get(bid).total(all.get(bid).total() + 1));
    }

    /**
     * Corrects the totals after the recovery from the store: no batch has fewer jobs than were
     * found. A stop may have come between recording a job, which acknowledges its push, and
     * recording its batch.
     */
    public void correctTotals() {
        all.replaceAll(
                (bid, batch) ->
                        batch.total(Math.max(batch.total(), jobTable.batchCounts(bid).open())));
    }

    /** Opens a batch for further jobs; returns null if its completion callback has become due. */
    public Batch open(String bid) {
        Batch batch = all.get(bid);
        return batch == null || batch.onComplete() != CallbackState.NOT_YET
                ? null
                : change(batch.committed(false));
    }

    public Batch commit(String bid) {
        Batch batch = all.get(bid);
        return batch == null ? null : change(batch.committed(true));
    }

    private Batch change(Batch next) {
        all.put(next.bid(), next);
        return next;
    }

    /**
     * The callbacks, of this batch and of those around it, that a change of it or its jobs has made
     * due.
     */
    public List<DueCallback> collectDueCallbacks(String bid) {
        List<DueCallback> due = new ArrayList<>();
        String at = bid;
        for (int depth = 0;
                depth <= all.size() && all.containsKey(at);
                depth++) { // bounded, as parents might form a cycle
            collectDueCallbacks(at, due);
            at = all.get(at).parent();
        }
        return due;
    }

    private void collectDueCallbacks(String bid, List<DueCallback> due) {
        Batch batch = all.get(bid);
        BatchCounters.Counts jobs = jobTable.batchCounts(bid);
        if (batch.onComplete() == CallbackState.NOT_YET
                && batch.committed()
                && jobs.neverFailed() == 0
                && nestedIn(bid).stream()
                        .allMatch(child -> child.onComplete() == CallbackState.DONE)) {
            batch = begin(batch, false, due);
        }
        if (batch.onSuccess() == CallbackState.NOT_YET
                && batch.onComplete() != CallbackState.NOT_YET
                && jobs.open() == 0
                && nestedIn(bid).stream()
                        .allMatch(child -> child.onSuccess() == CallbackState.DONE)) {
            begin(batch, true, due);
        }
    }

    private Batch begin(Batch batch, boolean success, List<DueCallback> due) {
        boolean none = (success ? batch.success() : batch.complete()).isEmpty();
        Batch next =
                change(batch.withCallback(success, none ? CallbackState.DONE : CallbackState.DUE));
        due.add(new DueCallback(next, success));
        return next;
    }

    /** Records that a callback has succeeded; returns the batch, or null if it is unknown. */
    public Batch markCallbackDone(String bid, boolean success) {
        Batch batch = all.get(bid);
        return batch == null ? null : change(batch.withCallback(success, CallbackState.DONE));
    }

    private List<Batch> nestedIn(String bid) {
        return children.getOrDefault(bid, List.of()).stream()
                .map(all::get)
                .filter(child -> child != null)
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
        List<String> gone = new ArrayList<>();
        for (Batch batch : List.copyOf(all.values())) {
            boolean over =
                    batch.onSuccess() == CallbackState.DONE
                            && !all.containsKey(batch.parent())
                            && nestedIn(batch.bid()).isEmpty();
            long retentionMs = over ? ENDED_RETENTION_MS : RETENTION_MS;
            if (batch.createdMs() + retentionMs < nowMs) {
                all.remove(batch.bid());
                children.remove(batch.bid());
                List<String> siblings = children.get(batch.parent());
                if (siblings != null) {
                    siblings.remove(batch.bid());
                }
                gone.add(batch.bid());
            }
        }
        return gone;
    }

    public void clear() {
        all.clear();
        children.clear();
    }
}
