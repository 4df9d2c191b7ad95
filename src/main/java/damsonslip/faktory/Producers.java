package damsonslip.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.core.Counters;
import damsonslip.core.Counters.Count;
import damsonslip.core.Loop;
import damsonslip.core.Phase;
import damsonslip.core.Phase.State;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.Json;
import damsonslip.faktory.codec.Malformed;
import damsonslip.faktory.codec.Pushed;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.routes.Routes;
import damsonslip.faktory.sets.Ledger;
import damsonslip.faktory.sets.Ledger.Entry;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.Op;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** The client side: producers that push, and the state of each job, which they may track. */
final class Producers {
    private static final long LOOK_AGAIN_US = 500_000;
    /** How far jobs are, in their workers' words, is remembered of this many. */
    private static final int MOST_PROGRESS = 10_000;

    private record Progress(int percent, String words, long atMs) { }

    private final Loop loop;
    private final AsyncStore store;
    private final Phase phase;
    private final Counters counters;
    private final Routes routes;
    private final int leastReserveS;
    private final Desk desk;
    private final Ledger ledger;
    private final Workshop batches;
    /** Pushes that are with the store, by id. */
    private final Map<String, Integer> adding = new HashMap<>();
    /** Pushes that got no answer from the store, by id: the producer was told that its job was not taken. */
    private final Map<String, Set<JobRecord>> uncertain = new HashMap<>();
    private final Map<String, Progress> progress = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Progress> eldest) {
            return size() > MOST_PROGRESS;
        }
    };
    /** Whether the store's jobs have been taken up. */
    private boolean ready;

    Producers(Loop loop, AsyncStore store, Phase phase, Counters counters, FaktoryConfig config, Desk desk,
              Workshop batches) {
        this.loop = loop;
        this.store = store;
        this.phase = phase;
        this.counters = counters;
        this.routes = config.routes();
        this.leastReserveS = config.leastReserveS();
        this.desk = desk;
        this.ledger = desk.ledger();
        this.batches = batches;
    }

    void ready() {
        ready = true;
    }

    // ---- PUSH

    void push(FaktoryLink link, Command.Push push) {
        if (!push.bulk()) {
            push(push.jobs().get(0), error -> link.reply(error == null ? Reply.ok() : Reply.error(error)));
            return;
        }
        ObjectNode errors = Json.MAPPER.createObjectNode();
        int[] left = {push.jobs().size()};
        if (left[0] == 0) {
            link.reply(Reply.bulk("{}"));
        }
        for (JsonNode job : push.jobs()) {
            push(job, error -> {
                if (error != null) {
                    errors.put(job.path("jid").asText(""), error);
                }
                if (--left[0] == 0) {
                    link.reply(Reply.bulk(errors.toString()));
                }
            });
        }
    }

    /** Takes a job in; tells what is wrong with it, or null. */
    private void push(JsonNode job, Consumer<String> then) {
        if (phase.atLeast(State.FINISHING)) {
            then.accept("SHUTDOWN this scheduler is going away");
            return;
        }
        long nowMs = desk.nowMs();
        Pushed pushed;
        int jobClass;
        try {
            pushed = Pushed.read(job, nowMs, leastReserveS);
            String named = pushed.custom().className();
            jobClass = routes.classOf(named, pushed.queue(), pushed.jobtype());
            if (jobClass < 0) {
                throw new Malformed("custom.class: " + (named.isEmpty()
                    ? "is needed, since no route and no default class fits" : "unknown class: " + named));
            }
        } catch (Malformed e) {
            counters.add(Count.QUERIES_BAD);
            then.accept("MALFORMED " + e.getMessage());
            return;
        }
        JobRecord record = JobRecord.pushed(pushed.jid(), facts(pushed, jobClass, nowMs, ""), pushed.atMs(), nowMs)
            .numbered(ledger.nextSeq());
        String why = unwelcome(record, nowMs);
        if (why != null) {
            counters.add(Count.PUSHES_REFUSED);
            then.accept(why);
            return;
        }
        add(record, pushed.body(), jobClass, then);
    }

    private JobRecord.Facts facts(Pushed pushed, int jobClass, long nowMs, String callbackOf) {
        Pushed.Custom custom = pushed.custom();
        return new JobRecord.Facts(pushed.queue(), pushed.jobtype(), routes.classNames().get(jobClass),
            pushed.priority(), pushed.retry(), pushed.reserveMs(), custom.slots(), custom.deadlineMs(),
            custom.expiresMs(), custom.bid(), callbackOf,
            custom.uniqueMs() == 0 ? "" : Unique.key(pushed), Math.max(nowMs, pushed.atMs()) + custom.uniqueMs(),
            custom.untilStart(), pushed.backtrace());
    }

    /** Why it cannot be taken now, though it is in order; or null. */
    private String unwelcome(JobRecord record, long nowMs) {
        JobRecord.Facts facts = record.facts();
        if (!ready && !(facts.uniqueKey().isEmpty() && facts.bid().isEmpty())) {
            return "ERR what is in the store is being taken up; push it again in a moment";
        }
        String closed = facts.bid().isEmpty() ? null : batches.closed(facts.bid());
        if (closed != null) {
            return "ERR " + closed;
        }
        boolean known = ledger.get(record.id()) != null;
        String full = record.awaited() && record.dueMs() == 0 || known ? null : ledger.full(facts.queue());
        if (full != null) {
            return "ERR " + full;
        }
        return ledger.lock(record.id(), facts, nowMs) ? null : "NOTUNIQUE Job not unique";
    }

    private void add(JobRecord record, String body, int jobClass, Consumer<String> then) {
        adding.merge(record.id(), 1, Integer::sum);
        store.ask(new Op.Add(record, body), before -> {
            added(record.id());
            then.accept(added(record, body, jobClass, before));
        }, () -> {
            added(record.id());
            if (ledger.get(record.id()) == null) {
                ledger.unlock(record.id(), record.facts());
                if (uncertain.computeIfAbsent(record.id(), id -> new HashSet<>()).isEmpty()) {
                    loop.in(LOOK_AGAIN_US, () -> withdraw(record.id()));
                }
                uncertain.get(record.id()).add(record);
            }
            then.accept("ERR the store is down and the job was not taken; push it again");
        });
    }

    private void added(String jid) {
        adding.computeIfPresent(jid, (id, count) -> count == 1 ? null : count - 1);
    }

    /** The store has it, or had it before; tells a refusal at the door, or null. */
    private String added(JobRecord record, String body, int jobClass, JobRecord before) {
        Set<JobRecord> ours = uncertain.getOrDefault(record.id(), Set.of());
        uncertain.remove(record.id());
        if (before == null) {
            return take(record, jobClass);
        }
        if (before.state() == JobRecord.State.REFUSED) { // that promised that trying again does no harm
            store.ask(new Op.Replace(record, body), done -> { }, () -> store.insist(new Op.Replace(record, body)));
            return take(record, jobClass);
        }
        if (ours.contains(before) && ledger.get(record.id()) == null) {
            return take(before, jobClass); // its first push took effect, and only the answer was lost
        }
        if (ledger.get(record.id()) == null) {
            ledger.unlock(record.id(), record.facts());
        }
        counters.add(Count.PUSHES_REPEATED); // guards against a second run by a producer that lost the answer
        return null;
    }

    private String take(JobRecord record, int jobClass) {
        if (ledger.get(record.id()) != null) {
            counters.add(Count.PUSHES_REPEATED);
            return null;
        }
        if (!record.facts().bid().isEmpty()) {
            batches.pushed(record.facts().bid());
        }
        return desk.enter(record, jobClass); // any end that is not told here is for those who track the job
    }

    /**
     * Takes a job out of the store that may have come there although its producer heard otherwise. Guards against a
     * job that runs although nobody was promised it.
     */
    private void withdraw(String jid) {
        Set<JobRecord> ours = uncertain.get(jid);
        if (ours == null) {
            return;
        }
        store.ask(new Op.Get(jid), found -> {
            if (uncertain.get(jid) != ours) {
                return; // pushed again meanwhile, and taken
            }
            if (adding.containsKey(jid)) { // being pushed again: that push decides first
                loop.in(LOOK_AGAIN_US, () -> withdraw(jid));
                return;
            }
            uncertain.remove(jid);
            if (ours.contains(found) && ledger.get(jid) == null) {
                store.insist(new Op.Drop(List.of(jid)));
            }
        }, () -> loop.in(LOOK_AGAIN_US, () -> withdraw(jid)));
    }

    // ---- callbacks of batches

    /** Pushes a batch's callback, until the store has it; {@code before} hears of one that was pushed already. */
    void pushCallback(String job, String jid, String bid, Consumer<JobRecord> before) {
        JobRecord record;
        Pushed pushed;
        int jobClass;
        try {
            ObjectNode node = (ObjectNode) Json.read(job);
            node.put("jid", jid);
            pushed = Pushed.read(node, desk.nowMs(), leastReserveS);
            jobClass = Math.max(0, routes.classOf(pushed.custom().className(), pushed.queue(), pushed.jobtype()));
            record = JobRecord.pushed(jid, facts(pushed, jobClass, desk.nowMs(), bid), pushed.atMs(), desk.nowMs())
                .numbered(ledger.nextSeq());
        } catch (Malformed e) {
            throw new IllegalStateException("a callback that was checked when its batch was made", e);
        }
        store.ask(new Op.Add(record, pushed.body()), there -> {
            if (there != null) {
                before.accept(there);
            } else if (ledger.get(jid) == null) {
                desk.enter(record, jobClass);
            }
        }, () -> loop.in(LOOK_AGAIN_US, () -> pushCallback(job, jid, bid, before)));
    }

    /** Why a job cannot be a callback; null if it can. */
    String unfit(JsonNode job) {
        if (job == null) {
            return null;
        }
        try {
            ObjectNode node = ((ObjectNode) job).deepCopy();
            node.put("jid", "b-callback-of-a-batch");
            Pushed pushed = Pushed.read(node, desk.nowMs(), leastReserveS);
            return routes.classOf(pushed.custom().className(), pushed.queue(), pushed.jobtype()) < 0
                ? "custom.class: no class for the callback" : null;
        } catch (Malformed e) {
            return e.getMessage();
        }
    }

    // ---- TRACK

    void track(FaktoryLink link, String jid) {
        Entry open = ledger.get(jid);
        if (open != null) {
            link.reply(Reply.bulk(tracked(jid, open.record())));
            return;
        }
        store.ask(new Op.Get(jid), record -> link.reply(Reply.bulk(tracked(jid, record))),
            () -> link.reply(Reply.error("ERR the store is down")));
    }

    void progress(Command.TrackSet set) {
        progress.put(set.jid(), new Progress(set.percent(), set.words(), desk.nowMs()));
    }

    private String tracked(String jid, JobRecord record) {
        ObjectNode told = Json.MAPPER.createObjectNode().put("jid", jid);
        Progress said = progress.get(jid);
        told.put("state", record == null ? "unknown" : switch (record.state()) {
            case QUEUED, SCHEDULED -> "enqueued";
            case RESERVED -> "working";
            case SUCCESS -> "success";
            case REFUSED, FAILED, RETRY -> "failed";
            case DEAD -> "dead";
            case DISCARDED -> "discarded";
        });
        told.put("percent", said == null ? 0 : said.percent());
        boolean ended = record != null && !record.detail().isEmpty();
        told.put("desc", ended ? record.detail() : said == null ? "" : said.words());
        told.put("updated_at", record == null ? "" : Json.time(said == null ? record.updatedMs()
            : Math.max(said.atMs(), record.updatedMs())));
        return told.toString();
    }
}
