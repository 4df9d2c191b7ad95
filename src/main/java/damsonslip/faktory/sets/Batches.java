package damsonslip.faktory.sets;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Batches of jobs, and when their callbacks are due: the one on completion when each job has been run once, the one on
 * success when each has succeeded; both only after those of the batches inside it. How many jobs are open is read off
 * the {@link Ledger}, so that a restart between two writes cannot leave a wrong count behind.
 */
public final class Batches {
    /** No batch is remembered for longer, whatever has become of it. */
    public static final long KEEP_MS = 30L * 24 * 3600 * 1000;

    /** How far a callback is. */
    public enum Callback { NOT_YET, DUE, DONE }

    /**
     * A batch.
     *
     * @param bid         its id
     * @param parent      the batch that it lies in, or empty
     * @param description its creator's words
     * @param success     the job to push when all have succeeded, as JSON; or empty
     * @param complete    the job to push when all have been run, as JSON; or empty
     * @param committed   whether its creator is done with pushing
     * @param total       jobs pushed into it
     * @param onComplete  how far that callback is
     * @param onSuccess   how far that one is
     * @param createdMs   when it was made, in Unix time
     */
    public record Batch(String bid, String parent, String description, String success, String complete,
                        boolean committed, int total, Callback onComplete, Callback onSuccess, long createdMs) {
        private Batch committed(boolean is) {
            return new Batch(bid, parent, description, success, complete, is, total, onComplete, onSuccess, createdMs);
        }

        private Batch total(int jobs) {
            return new Batch(bid, parent, description, success, complete, committed, jobs, onComplete, onSuccess,
                createdMs);
        }

        private Batch callback(boolean ofSuccess, Callback now) {
            return new Batch(bid, parent, description, success, complete, committed, total,
                ofSuccess ? onComplete : now, ofSuccess ? now : onSuccess, createdMs);
        }

        /** The id of the job that is its callback: the same at each try, so that it is pushed once. */
        public String callbackId(boolean ofSuccess) {
            return bid + (ofSuccess ? "-success" : "-complete");
        }
    }

    /** A callback that is due now; the batch as it is afterwards. */
    public record Due(Batch batch, boolean success) {
        public String job() {
            return success ? batch.success() : batch.complete();
        }
    }

    private final Ledger ledger;
    private final Map<String, Batch> all = new LinkedHashMap<>();
    private final Map<String, List<String>> children = new HashMap<>();

    public Batches(Ledger ledger) {
        this.ledger = ledger;
    }

    public Batch get(String bid) {
        return all.get(bid);
    }

    public int size() {
        return all.size();
    }

    /** Takes a batch in, a new one or one from the store. */
    public void add(Batch batch) {
        if (all.put(batch.bid(), batch) == null && !batch.parent().isEmpty()) {
            children.computeIfAbsent(batch.parent(), bid -> new ArrayList<>()).add(batch.bid());
        }
    }

    /** Why no job may be pushed into it now; null if one may. */
    public String closed(String bid) {
        Batch batch = all.get(bid);
        return batch == null ? "no such batch: " + bid
            : batch.committed() ? "batch " + bid + " is committed; open it first" : null;
    }

    /** A job was pushed into it. */
    public Batch pushed(String bid) {
        return change(all.get(bid).total(all.get(bid).total() + 1));
    }

    /**
     * All jobs are taken up from the store again: no batch has fewer than are there. Guards against a stop between a
     * job's record, after which its push is acknowledged, and the batch's own, which follows.
     */
    public void recount() {
        all.replaceAll((bid, batch) -> batch.total(Math.max(batch.total(), ledger.tally(bid).open)));
    }

    /** Opens it for further jobs; null if it cannot be any more, since its end has been told already. */
    public Batch open(String bid) {
        Batch batch = all.get(bid);
        return batch == null || batch.onComplete() != Callback.NOT_YET ? null : change(batch.committed(false));
    }

    public Batch commit(String bid) {
        Batch batch = all.get(bid);
        return batch == null ? null : change(batch.committed(true));
    }

    private Batch change(Batch next) {
        all.put(next.bid(), next);
        return next;
    }

    /** The callbacks that have become due by a change of this batch or its jobs; those of batches round it as well. */
    public List<Due> settle(String bid) {
        List<Due> due = new ArrayList<>();
        String at = bid;
        for (int depth = 0; depth <= all.size() && all.containsKey(at); depth++) { // a circle of parents ends too
            settle(at, due);
            at = all.get(at).parent();
        }
        return due;
    }

    private void settle(String bid, List<Due> due) {
        Batch batch = all.get(bid);
        Ledger.Tally jobs = ledger.tally(bid);
        if (batch.onComplete() == Callback.NOT_YET && batch.committed() && jobs.fresh == 0
            && inside(bid).stream().allMatch(child -> child.onComplete() == Callback.DONE)) {
            batch = begin(batch, false, due);
        }
        if (batch.onSuccess() == Callback.NOT_YET && batch.onComplete() != Callback.NOT_YET && jobs.open == 0
            && inside(bid).stream().allMatch(child -> child.onSuccess() == Callback.DONE)) {
            begin(batch, true, due);
        }
    }

    private Batch begin(Batch batch, boolean success, List<Due> due) {
        boolean none = (success ? batch.success() : batch.complete()).isEmpty();
        Batch next = change(batch.callback(success, none ? Callback.DONE : Callback.DUE));
        due.add(new Due(next, success));
        return next;
    }

    /** A callback has been run. */
    public Batch ran(String bid, boolean success) {
        Batch batch = all.get(bid);
        return batch == null ? null : change(batch.callback(success, Callback.DONE));
    }

    private List<Batch> inside(String bid) {
        return children.getOrDefault(bid, List.of()).stream().map(all::get).filter(child -> child != null).toList();
    }

    /** Callbacks that were due when the process ended, and may never have been pushed. */
    public List<Due> unfinished() {
        List<Due> found = new ArrayList<>();
        for (Batch batch : all.values()) {
            if (batch.onComplete() == Callback.DUE) {
                found.add(new Due(batch, false));
            }
            if (batch.onSuccess() == Callback.DUE) {
                found.add(new Due(batch, true));
            }
        }
        return found;
    }

    public List<Batch> all() {
        return List.copyOf(all.values());
    }

    /** Jobs of it that are open. */
    public int pending(String bid) {
        return ledger.tally(bid).open;
    }

    /** Open jobs of it that have failed at least once. */
    public int failed(String bid) {
        Ledger.Tally jobs = ledger.tally(bid);
        return jobs.open - jobs.fresh;
    }

    /** Forgets those that are over, or older than any is kept; tells which. */
    public List<String> forget(long nowMs) {
        List<String> gone = new ArrayList<>();
        for (Batch batch : List.copyOf(all.values())) {
            boolean over = batch.onSuccess() == Callback.DONE && !all.containsKey(batch.parent())
                && inside(batch.bid()).isEmpty();
            if (over && batch.createdMs() + 3_600_000 < nowMs || batch.createdMs() + KEEP_MS < nowMs) {
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
