package damsonslip.faktory;

import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.core.Counters;
import damsonslip.core.Counters.Count;
import damsonslip.core.Loop;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.Command.Mutate;
import damsonslip.faktory.codec.Json;
import damsonslip.faktory.codec.JobText;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.sets.Fate;
import damsonslip.faktory.sets.Glob;
import damsonslip.faktory.sets.Ledger;
import damsonslip.faktory.sets.Ledger.Entry;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.Op;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** What operators do to sets and queues, and what they are shown: MUTATE, QUEUE, FLUSH and INFO. */
final class Operators {
    /** The kind of note that a paused queue is kept as. */
    static final String PAUSED = "paused";
    /** Jobs changed, or bodies read, in one turn of the loop. */
    private static final int AT_ONCE = 250;
    private static final DateTimeFormatter CLOCK = DateTimeFormatter.ofPattern("HH:mm:ss 'UTC'")
        .withZone(ZoneOffset.UTC);

    private final Loop loop;
    private final AsyncStore store;
    private final Counters counters;
    private final Desk desk;
    private final Ledger ledger;
    private final Workshop batches;
    private final Consumers consumers;
    private final long startedUs;

    Operators(Loop loop, AsyncStore store, Counters counters, Desk desk, Workshop batches, Consumers consumers) {
        this.loop = loop;
        this.store = store;
        this.counters = counters;
        this.desk = desk;
        this.ledger = desk.ledger();
        this.batches = batches;
        this.consumers = consumers;
        this.startedUs = loop.now();
    }

    // ---- MUTATE

    /** How a change goes: what could not be done, and whether the store failed. */
    private static final class Tally {
        int left;
        int kept;
        int unsafe;
        boolean unwritten;
    }

    void mutate(FaktoryLink link, Mutate change) {
        List<Entry> chosen = new ArrayList<>(ledger.in(switch (change.target()) {
            case SCHEDULED -> JobRecord.State.SCHEDULED;
            case RETRIES -> JobRecord.State.RETRY;
            case DEAD -> JobRecord.State.DEAD;
        }));
        Mutate.Wanted wanted = change.wanted();
        if (change.verb() != Mutate.Verb.CLEAR) { // that one empties the whole set, whatever the filter says
            Set<String> ids = Set.copyOf(wanted.jids());
            chosen.removeIf(entry -> !wanted.jobtype().isEmpty()
                && !wanted.jobtype().equals(entry.record().facts().jobtype()) || !ids.isEmpty()
                && !ids.contains(entry.id()));
        }
        if (wanted.glob().isEmpty() || change.verb() == Mutate.Verb.CLEAR) {
            change(link, change.verb(), chosen);
        } else {
            match(new Glob(wanted.glob()), chosen, 0, new ArrayList<>(), found -> {
                if (found == null) {
                    link.reply(Reply.error("ERR the store is down and nothing was changed"));
                } else {
                    change(link, change.verb(), found);
                }
            });
        }
    }

    /** Looks at the whole text of jobs, whose bodies only the store has. */
    private void match(Glob glob, List<Entry> among, int from, List<Entry> found, Consumer<List<Entry>> then) {
        if (from >= among.size()) {
            then.accept(found);
            return;
        }
        List<Entry> part = among.subList(from, Math.min(among.size(), from + AT_ONCE));
        store.ask(new Op.Bodies(part.stream().map(Entry::id).toList()), bodies -> {
            for (int i = 0; i < part.size(); i++) {
                Entry entry = part.get(i);
                if (bodies.get(i) != null && glob.matches(JobText.whole(bodies.get(i), entry.record(), 0))) {
                    found.add(entry);
                }
            }
            match(glob, among, from + AT_ONCE, found, then);
        }, () -> then.accept(null));
    }

    private void change(FaktoryLink link, Mutate.Verb verb, List<Entry> chosen) {
        Tally tally = new Tally();
        tally.left = chosen.size();
        if (chosen.isEmpty()) {
            link.reply(Reply.ok());
            return;
        }
        change(verb, chosen, 0, tally, () -> link.reply(tally.unsafe > 0
            ? Reply.error("ERR " + tally.unsafe + " of " + chosen.size()
                + " may have run and must not run twice; they stay where they are")
            : tally.unwritten ? Reply.error("ERR the store is down; the change is kept here and written once it is back")
            : Reply.ok()));
    }

    private void change(Mutate.Verb verb, List<Entry> chosen, int from, Tally tally, Runnable then) {
        for (Entry entry : chosen.subList(from, Math.min(chosen.size(), from + AT_ONCE))) {
            change(verb, entry, tally, error -> {
                tally.unwritten |= error != null;
                if (--tally.left == 0) {
                    then.run();
                }
            });
        }
        if (from + AT_ONCE < chosen.size()) {
            loop.execute(() -> change(verb, chosen, from + AT_ONCE, tally, then));
        }
    }

    private void change(Mutate.Verb verb, Entry entry, Tally tally, Consumer<String> told) {
        JobRecord record = entry.record();
        if (ledger.get(entry.id()) != entry || entry.handed() || record.state() == JobRecord.State.QUEUED) {
            told.accept(null); // it has moved on meanwhile
            return;
        }
        switch (verb) {
            case CLEAR, DISCARD -> discard(entry, told);
            case KILL -> desk.moveTo(entry, record.to(JobRecord.State.DEAD, desk.nowMs(), "killed by an operator",
                desk.nowMs()), told);
            case REQUEUE -> {
                if (Fate.mayRun(record, desk.classOf(entry), desk.nowMs())) {
                    desk.enqueue(entry);
                    store.keep(entry.record(), () -> told.accept(null), () -> told.accept("down"));
                    desk.feedSoon();
                } else {
                    tally.unsafe++;
                    told.accept(null);
                }
            }
        }
    }

    /** Thrown away, but remembered for a while: a repeated push must not run what may have run. */
    private void discard(Entry entry, Consumer<String> told) {
        desk.moveTo(entry, entry.record().to(JobRecord.State.DISCARDED, 0, "discarded by an operator", desk.nowMs()),
            told);
    }

    // ---- QUEUE

    void queue(FaktoryLink link, Command.Queue change) {
        List<String> names = change.names().contains("*")
            ? new ArrayList<>(change.verb() == Command.Queue.Verb.RESUME ? ledger.paused() : ledger.queues().keySet())
            : change.names();
        for (String name : names) {
            switch (change.verb()) {
                case PAUSE -> {
                    if (ledger.pause(name)) {
                        store.insist(new Op.Note(PAUSED, name, "1"));
                    }
                }
                case RESUME -> {
                    if (ledger.resume(name)) {
                        store.insist(new Op.Note(PAUSED, name, null));
                    }
                }
                case REMOVE -> remove(ledger.inQueue(name), 0);
            }
        }
        desk.feedSoon();
        link.reply(Reply.ok());
    }

    private void remove(List<Entry> entries, int from) {
        for (Entry entry : entries.subList(from, Math.min(entries.size(), from + AT_ONCE))) {
            if (ledger.get(entry.id()) == entry && !entry.handed()) {
                discard(entry, error -> { });
            }
        }
        if (from + AT_ONCE < entries.size()) {
            loop.execute(() -> remove(entries, from + AT_ONCE));
        }
    }

    // ---- FLUSH

    /**
     * Forgets everything but what the module or a worker has, which ends by itself. What may have run and must not run
     * twice is remembered as over.
     */
    void flush(FaktoryLink link) {
        batches.clear();
        List<String> gone = new ArrayList<>();
        for (Entry entry : ledger.all()) {
            if (entry.handed() || entry.record().state() == JobRecord.State.RESERVED) {
                continue;
            }
            ledger.remove(entry);
            if (Fate.mayRun(entry.record(), desk.classOf(entry), desk.nowMs())) {
                gone.add(entry.id());
            } else {
                store.keep(entry.record().to(JobRecord.State.DISCARDED, 0, "flushed", desk.nowMs()));
            }
        }
        for (String name : ledger.paused()) {
            ledger.resume(name);
            store.insist(new Op.Note(PAUSED, name, null));
        }
        drop(link, gone, 0);
    }

    private void drop(FaktoryLink link, List<String> ids, int from) {
        if (from >= ids.size()) {
            link.reply(Reply.ok());
            return;
        }
        List<String> part = ids.subList(from, Math.min(ids.size(), from + AT_ONCE));
        store.ask(new Op.Drop(part), done -> drop(link, ids, from + AT_ONCE), () -> {
            for (int i = from; i < ids.size(); i += AT_ONCE) {
                store.insist(new Op.Drop(ids.subList(i, Math.min(ids.size(), i + AT_ONCE))));
            }
            link.reply(Reply.error("ERR the store is down; all is forgotten here and goes there once it is back"));
        });
    }

    // ---- INFO

    String info(int links, long commands) {
        ObjectNode info = Json.MAPPER.createObjectNode().put("server_utc_time", CLOCK.format(Instant.now()));
        ObjectNode jobs = info.putObject("faktory");
        var queues = ledger.queues();
        jobs.put("default_size", queues.getOrDefault("default", 0))
            .put("total_enqueued", ledger.size(JobRecord.State.QUEUED)).put("total_queues", queues.size())
            .put("total_processed", counters.get(Count.ANSWERS_SERVED) + counters.get(Count.EXECUTIONS_ERROR))
            .put("total_failures", counters.get(Count.EXECUTIONS_ERROR) + counters.get(Count.RUNS_FAILED));
        ObjectNode sizes = jobs.putObject("queues");
        queues.forEach(sizes::put);
        ledger.paused().forEach(jobs.putArray("paused")::add);
        ObjectNode tasks = jobs.putObject("tasks");
        tasks.putObject("Workers").put("size", consumers.all().size())
            .put("rss_kb", consumers.all().stream().mapToLong(consumer -> consumer.rssKb).sum());
        tasks.putObject("Working").put("size", ledger.size(JobRecord.State.RESERVED));
        tasks.putObject("Scheduled").put("size", ledger.size(JobRecord.State.SCHEDULED));
        tasks.putObject("Retries").put("size", ledger.size(JobRecord.State.RETRY));
        tasks.putObject("Dead").put("size", ledger.size(JobRecord.State.DEAD));
        ObjectNode server = info.putObject("server");
        server.put("description", "damsonslip").put("faktory_version", "1.9.0").put("connections", links)
            .put("command_count", commands).put("uptime", (loop.now() - startedUs) / 1_000_000)
            .put("used_memory_mb", Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory() >> 20);
        ObjectNode counted = info.putObject("counters");
        counters.each(counted::put);
        return info.toString();
    }
}
