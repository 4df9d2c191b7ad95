package damsonslip.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.Json;
import damsonslip.faktory.codec.MalformedCommandException;
import damsonslip.faktory.codec.PushedJob;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.routing.Routes;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.StoreOperation;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The producer side of the Faktory front: pushes, and the tracking of jobs. Confined to the event
 * loop.
 */
final class Producers {
    private static final long RETRY_US = 500_000;

    /** Jobs whose reported progress is kept in memory. */
    private static final int MAX_PROGRESS_ENTRIES = 10_000;

    private record Progress(int percent, String words, long atMs) {}

    private final EventLoop loop;
    private final AsyncStore store;
    private final LifecyclePhase phase;
    private final Counters counters;
    private final Routes routes;
    private final int minReserveS;
    private final JobCoordinator coordinator;
    private final JobTable jobTable;
    private final BatchService batches;

    /** The number of pushes of each id that the store has not answered. */
    private final Map<String, Integer> pendingAdds = new HashMap<>();

    /**
     * Pushes that the store may have recorded without an answer, by id; the producer got an error.
     */
    private final Map<String, Set<JobRecord>> uncertain = new HashMap<>();

    private final Map<String, Progress> progress =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Progress> eldest) {
                    return size() > MAX_PROGRESS_ENTRIES;
                }
            };

    /** Whether the recovery from the store has ended. */
    private boolean recovered;

    Producers(
            EventLoop loop,
            AsyncStore store,
            LifecyclePhase phase,
            Counters counters,
            FaktoryConfig config,
            JobCoordinator coordinator,
            BatchService batches) {
        this.loop = loop;
        this.store = store;
        this.phase = phase;
        this.counters = counters;
        this.routes = config.routes();
        this.minReserveS = config.minReservationS();
        this.coordinator = coordinator;
        this.jobTable = coordinator.jobTable();
        this.batches = batches;
    }

    /** Called once the recovery from the store has ended. */
    void recovered() {
        recovered = true;
    }

    // ---- PUSH

    void push(FaktoryConnection link, Command.Push push) {
        if (!push.bulk()) {
            push(
                    push.jobs().get(0),
                    error -> link.reply(error == null ? Reply.ok() : Reply.error(error)));
            return;
        }
        ObjectNode errors = Json.MAPPER.createObjectNode();
        int[] left = {push.jobs().size()};
        if (left[0] == 0) {
            link.reply(Reply.bulk("{}"));
        }
        for (JsonNode job : push.jobs()) {
            push(
                    job,
                    error -> {
                        if (error != null) {
                            errors.put(job.path("jid").asText(""), error);
                        }
                        if (--left[0] == 0) {
                            link.reply(Reply.bulk(errors.toString()));
                        }
                    });
        }
    }

    /**
     * Accepts a job.
     *
     * @param then called with an error, or with null once the store has recorded the job
     */
    private void push(JsonNode job, Consumer<String> then) {
        if (phase.atLeast(State.FINISHING)) {
            then.accept("SHUTDOWN this scheduler is going away");
            return;
        }
        long nowMs = coordinator.nowMs();
        PushedJob pushed;
        int jobClass;
        try {
            pushed = PushedJob.decode(job, nowMs, minReserveS);
            String named = pushed.custom().className();
            jobClass = routes.classOf(named, pushed.queue(), pushed.jobtype());
            if (jobClass < 0) {
                throw new MalformedCommandException(
                        "custom.class: "
                                + (named.isEmpty()
                                        ? "is needed, since no route and no default class fits"
                                        : "unknown class: " + named));
            }
        } catch (MalformedCommandException e) {
            counters.add(Count.QUERIES_BAD);
            then.accept("MALFORMED " + e.getMessage());
            return;
        }
        JobRecord record =
                JobRecord.pushed(
                                pushed.jid(),
                                facts(pushed, jobClass, nowMs, ""),
                                pushed.scheduledMs(),
                                nowMs)
                        .withSequence(jobTable.nextSequence());
        String reason = rejectionReason(record, nowMs);
        if (reason != null) {
            counters.add(Count.PUSHES_REFUSED);
            then.accept(reason);
            return;
        }
        add(record, pushed.body(), jobClass, then);
    }

    private JobRecord.Options facts(PushedJob pushed, int jobClass, long nowMs, String callbackOf) {
        PushedJob.CustomOptions custom = pushed.custom();
        return new JobRecord.Options(
                pushed.queue(),
                pushed.jobtype(),
                routes.classNames().get(jobClass),
                pushed.priority(),
                pushed.retryLimit(),
                pushed.reservationMs(),
                custom.slots(),
                custom.deadlineMs(),
                custom.expiresMs(),
                custom.batchId(),
                callbackOf,
                custom.uniqueForMs() == 0 ? "" : UniqueKey.keyOf(pushed),
                Math.max(nowMs, pushed.scheduledMs()) + custom.uniqueForMs(),
                custom.uniqueUntilStart(),
                pushed.backtraceLines());
    }

    /** Why a well-formed job cannot be accepted now; null if it can. */
    private String rejectionReason(JobRecord record, long nowMs) {
        JobRecord.Options facts = record.options();
        if (!recovered && !(facts.uniqueKey().isEmpty() && facts.batchId().isEmpty())) {
            return "ERR what is in the store is being taken up; push it again in a moment";
        }
        String closed = facts.batchId().isEmpty() ? null : batches.closed(facts.batchId());
        if (closed != null) {
            return "ERR " + closed;
        }
        boolean known = jobTable.get(record.id()) != null;
        boolean dispatchedAtOnce = record.hasWaitingClient() && record.dueMs() == 0;
        String full = dispatchedAtOnce || known ? null : jobTable.rejectionReason(facts.queue());
        if (full != null) {
            return "ERR " + full;
        }
        return jobTable.lockUnique(record.id(), facts, nowMs) ? null : "NOTUNIQUE Job not unique";
    }

    private void add(JobRecord record, String body, int jobClass, Consumer<String> then) {
        pendingAdds.merge(record.id(), 1, Integer::sum);
        store.submit(
                new StoreOperation.Add(record, body),
                before -> {
                    added(record.id());
                    then.accept(added(record, body, jobClass, before));
                },
                () -> {
                    added(record.id());
                    if (jobTable.get(record.id()) == null) {
                        jobTable.unlockUnique(record.id(), record.options());
                        if (uncertain
                                .computeIfAbsent(record.id(), id -> new HashSet<>())
                                .isEmpty()) {
                            loop.in(RETRY_US, () -> withdraw(record.id()));
                        }
                        uncertain.get(record.id()).add(record);
                    }
                    then.accept("ERR the store is down and the job was not taken; push it again");
                });
    }

    private void added(String jid) {
        pendingAdds.computeIfPresent(jid, (id, count) -> count == 1 ? null : count - 1);
    }

    /**
     * Called when the store has the job, from this push or an earlier one; returns an immediate
     * rejection, or null.
     */
    private String added(JobRecord record, String body, int jobClass, JobRecord before) {
        Set<JobRecord> ours = uncertain.getOrDefault(record.id(), Set.of());
        uncertain.remove(record.id());
        if (before == null) {
            return accept(record, jobClass);
        }
        if (before.state()
                == JobRecord.State
                        .REJECTED) { // the rejection invited the producer to push it again
            store.submit(
                    new StoreOperation.Replace(record, body),
                    done -> {},
                    () -> store.submitWithRetry(new StoreOperation.Replace(record, body)));
            return accept(record, jobClass);
        }
        if (ours.contains(before) && jobTable.get(record.id()) == null) {
            return accept(
                    before, jobClass); // its first push was recorded, and only the answer was lost
        }
        if (jobTable.get(record.id()) == null) {
            jobTable.unlockUnique(record.id(), record.options());
        }
        counters.add(Count.PUSHES_REPEATED); // a producer that lost the answer must not cause a
        // second run
        return null;
    }

    private String accept(JobRecord record, int jobClass) {
        if (jobTable.get(record.id()) != null) {
            counters.add(Count.PUSHES_REPEATED);
            return null;
        }
        if (!record.options().batchId().isEmpty()) {
            batches.pushed(record.options().batchId());
        }
        return coordinator.admit(record, jobClass); // a later outcome is seen by tracking the job
    }

    /**
     * Removes a job that the store may have recorded although its producer got an error, so that it
     * does not run unasked.
     */
    private void withdraw(String jid) {
        Set<JobRecord> ours = uncertain.get(jid);
        if (ours == null) {
            return;
        }
        store.submit(
                new StoreOperation.Get(jid),
                found -> {
                    if (uncertain.get(jid) != ours) {
                        return; // pushed again meanwhile, and accepted
                    }
                    if (pendingAdds.containsKey(jid)) { // being pushed again: that push decides
                        loop.in(RETRY_US, () -> withdraw(jid));
                        return;
                    }
                    uncertain.remove(jid);
                    if (ours.contains(found) && jobTable.get(jid) == null) {
                        store.submitWithRetry(new StoreOperation.Delete(List.of(jid)));
                    }
                },
                () -> loop.in(RETRY_US, () -> withdraw(jid)));
    }

    // ---- callbacks of batches

    /**
     * Pushes a batch's callback, retrying until the store has recorded it.
     *
     * @param before called with the job's record if it was pushed before
     */
    void pushCallback(String job, String jid, String bid, Consumer<JobRecord> before) {
        JobRecord record;
        PushedJob pushed;
        int jobClass;
        try {
            ObjectNode node = (ObjectNode) Json.read(job);
            node.put("jid", jid);
            pushed = PushedJob.decode(node, coordinator.nowMs(), minReserveS);
            jobClass =
                    Math.max(
                            0,
                            routes.classOf(
                                    pushed.custom().className(), pushed.queue(), pushed.jobtype()));
            record =
                    JobRecord.pushed(
                                    jid,
                                    facts(pushed, jobClass, coordinator.nowMs(), bid),
                                    pushed.scheduledMs(),
                                    coordinator.nowMs())
                            .withSequence(jobTable.nextSequence());
        } catch (MalformedCommandException e) {
            throw new IllegalStateException(
                    "a callback that was checked when its batch was made", e);
        }
        store.submit(
                new StoreOperation.Add(record, pushed.body()),
                there -> {
                    if (there != null) {
                        before.accept(there);
                    } else if (jobTable.get(jid) == null) {
                        coordinator.admit(record, jobClass);
                    }
                },
                () -> loop.in(RETRY_US, () -> pushCallback(job, jid, bid, before)));
    }

    /** Why a job cannot be a callback; null if it can. */
    String callbackError(JsonNode job) {
        if (job == null) {
            return null;
        }
        try {
            ObjectNode node = ((ObjectNode) job).deepCopy();
            node.put("jid", "b-callback-of-a-batch");
            PushedJob pushed = PushedJob.decode(node, coordinator.nowMs(), minReserveS);
            return routes.classOf(pushed.custom().className(), pushed.queue(), pushed.jobtype()) < 0
                    ? "custom.class: no class for the callback"
                    : null;
        } catch (MalformedCommandException e) {
            return e.getMessage();
        }
    }

    // ---- TRACK

    void track(FaktoryConnection link, String jid) {
        JobEntry open = jobTable.get(jid);
        if (open != null) {
            link.reply(Reply.bulk(tracked(jid, open.record())));
            return;
        }
        store.submit(
                new StoreOperation.Get(jid),
                record -> link.reply(Reply.bulk(tracked(jid, record))),
                () -> link.reply(Reply.error("ERR the store is down")));
    }

    void setProgress(Command.TrackSet set) {
        progress.put(
                set.jid(), new Progress(set.percent(), set.description(), coordinator.nowMs()));
    }

    private String tracked(String jid, JobRecord record) {
        ObjectNode tracked = Json.MAPPER.createObjectNode().put("jid", jid);
        Progress said = progress.get(jid);
        tracked.put(
                "state",
                record == null
                        ? "unknown"
                        : switch (record.state()) {
                            case QUEUED, SCHEDULED -> "enqueued";
                            case RESERVED -> "working";
                            case SUCCESS -> "success";
                            case REJECTED, FAILED, RETRY -> "failed";
                            case DEAD -> "dead";
                            case DISCARDED -> "discarded";
                        });
        tracked.put("percent", said == null ? 0 : said.percent());
        boolean ended = record != null && !record.detail().isEmpty();
        tracked.put("desc", ended ? record.detail() : said == null ? "" : said.words());
        tracked.put(
                "updated_at",
                record == null
                        ? ""
                        : Json.time(
                                said == null
                                        ? record.updatedMs()
                                        : Math.max(said.atMs(), record.updatedMs())));
        return tracked.toString();
    }
}
