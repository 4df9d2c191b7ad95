package damsonslip.faktory;

import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.Command.Mutate;
import damsonslip.faktory.codec.JobText;
import damsonslip.faktory.codec.Json;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.jobs.Glob;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.jobs.RetryPolicy;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.StoreOperation;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The operators' commands of Faktory's protocol: MUTATE, QUEUE, FLUSH and INFO. Confined to the
 * event loop.
 */
final class AdminCommands {
    /** The kind of the store's notes that hold paused queues. */
    static final String PAUSED = "paused";

    /** Jobs changed, or bodies read, in one task of the loop. */
    private static final int BATCH = 250;

    private static final DateTimeFormatter CLOCK =
            DateTimeFormatter.ofPattern("HH:mm:ss 'UTC'").withZone(ZoneOffset.UTC);

    private final EventLoop loop;
    private final AsyncStore store;
    private final Counters counters;
    private final JobCoordinator coordinator;
    private final JobTable jobTable;
    private final BatchService batches;
    private final Consumers consumers;
    private final long startedUs;

    AdminCommands(
            EventLoop loop,
            AsyncStore store,
            Counters counters,
            JobCoordinator coordinator,
            BatchService batches,
            Consumers consumers) {
        this.loop = loop;
        this.store = store;
        this.counters = counters;
        this.coordinator = coordinator;
        this.jobTable = coordinator.jobTable();
        this.batches = batches;
        this.consumers = consumers;
        this.startedUs = loop.now();
    }

    // ---- MUTATE

    /** The progress of one MUTATE. */
    private static final class MutationProgress {
        /** Jobs not handled yet. */
        int remaining;

        /** Jobs that were left unchanged since they must not run twice. */
        int unsafe;

        /** Whether the store failed to record a change. */
        boolean unwritten;
    }

    void mutate(FaktoryConnection link, Mutate change) {
        List<JobEntry> chosen =
                new ArrayList<>(
                        jobTable.jobsIn(
                                switch (change.target()) {
                                    case SCHEDULED -> JobRecord.State.SCHEDULED;
                                    case RETRIES -> JobRecord.State.RETRY;
                                    case DEAD -> JobRecord.State.DEAD;
                                }));
        Mutate.Filter wanted = change.filter();
        if (change.verb()
                != Mutate.Verb.CLEAR) { // CLEAR empties the whole set, whatever the filter says
            Set<String> ids = Set.copyOf(wanted.jids());
            chosen.removeIf(
                    entry ->
                            !wanted.jobtype().isEmpty()
                                    && !wanted.jobtype()
                                            .equals(entry.record().options().jobtype()));
            chosen.removeIf(entry -> !ids.isEmpty() && !ids.contains(entry.id()));
        }
        if (wanted.glob().isEmpty() || change.verb() == Mutate.Verb.CLEAR) {
            change(link, change.verb(), chosen);
        } else {
            match(
                    new Glob(wanted.glob()),
                    chosen,
                    0,
                    new ArrayList<>(),
                    found -> {
                        if (found == null) {
                            link.reply(
                                    Reply.error("ERR the store is down and nothing was changed"));
                        } else {
                            change(link, change.verb(), found);
                        }
                    });
        }
    }

    /** Filters jobs by their whole text; their bodies are read from the store. */
    private void match(
            Glob glob,
            List<JobEntry> among,
            int from,
            List<JobEntry> found,
            Consumer<List<JobEntry>> then) {
        if (from >= among.size()) {
            then.accept(found);
            return;
        }
        List<JobEntry> part = among.subList(from, Math.min(among.size(), from + BATCH));
        store.submit(
                new StoreOperation.GetBodies(part.stream().map(JobEntry::id).toList()),
                bodies -> {
                    for (int i = 0; i < part.size(); i++) {
                        JobEntry entry = part.get(i);
                        if (bodies.get(i) != null
                                && glob.matches(JobText.merge(bodies.get(i), entry.record(), 0))) {
                            found.add(entry);
                        }
                    }
                    match(glob, among, from + BATCH, found, then);
                },
                () -> then.accept(null));
    }

    private void change(FaktoryConnection link, Mutate.Verb verb, List<JobEntry> chosen) {
        MutationProgress progress = new MutationProgress();
        progress.remaining = chosen.size();
        if (chosen.isEmpty()) {
            link.reply(Reply.ok());
            return;
        }
        change(
                verb,
                chosen,
                0,
                progress,
                () ->
                        link.reply(
                                progress.unsafe > 0
                                        ? Reply.error(
                                                "ERR "
                                                        + progress.unsafe
                                                        + " of "
                                                        + chosen.size()
                                                        + " may have run and must not run twice;"
                                                        + " they stay where they are")
                                        : progress.unwritten
                                                ? Reply.error(
                                                        "ERR the store is down; the change is kept"
                                                            + " here and written once it is back")
                                                : Reply.ok()));
    }

    private void change(
            Mutate.Verb verb,
            List<JobEntry> chosen,
            int from,
            MutationProgress progress,
            Runnable then) {
        for (JobEntry entry : chosen.subList(from, Math.min(chosen.size(), from + BATCH))) {
            change(
                    verb,
                    entry,
                    progress,
                    error -> {
                        progress.unwritten |= error != null;
                        if (--progress.remaining == 0) {
                            then.run();
                        }
                    });
        }
        if (from + BATCH < chosen.size()) {
            loop.execute(() -> change(verb, chosen, from + BATCH, progress, then));
        }
    }

    private void change(
            Mutate.Verb verb,
            JobEntry entry,
            MutationProgress progress,
            Consumer<String> acknowledge) {
        JobRecord record = entry.record();
        if (jobTable.get(entry.id()) != entry
                || entry.isDispatched()
                || record.state() == JobRecord.State.QUEUED) {
            acknowledge.accept(null); // its state has changed meanwhile
            return;
        }
        switch (verb) {
            case CLEAR, DISCARD -> discard(entry, acknowledge);
            case KILL ->
                    coordinator.transition(
                            entry,
                            record.withState(
                                    JobRecord.State.DEAD,
                                    coordinator.nowMs(),
                                    "killed by an operator",
                                    coordinator.nowMs()),
                            acknowledge);
            case REQUEUE -> {
                if (RetryPolicy.mayRun(record, coordinator.classOf(entry), coordinator.nowMs())) {
                    coordinator.enqueue(entry);
                    store.write(
                            entry.record(),
                            () -> acknowledge.accept(null),
                            () -> acknowledge.accept("down"));
                    coordinator.dispatchSoon();
                } else {
                    progress.unsafe++;
                    acknowledge.accept(null);
                }
            }
        }
    }

    /**
     * Ends a job, whose record is kept for a while: a repeated push must not run what may have run.
     */
    private void discard(JobEntry entry, Consumer<String> acknowledge) {
        coordinator.transition(
                entry,
                entry.record()
                        .withState(
                                JobRecord.State.DISCARDED,
                                0,
                                "discarded by an operator",
                                coordinator.nowMs()),
                acknowledge);
    }

    // ---- QUEUE

    void queue(FaktoryConnection link, Command.Queue change) {
        List<String> names =
                change.names().contains("*")
                        ? new ArrayList<>(
                                change.verb() == Command.Queue.Verb.RESUME
                                        ? jobTable.paused()
                                        : jobTable.queueSizes().keySet())
                        : change.names();
        for (String name : names) {
            switch (change.verb()) {
                case PAUSE -> {
                    if (jobTable.pause(name)) {
                        store.submitWithRetry(new StoreOperation.PutMetadata(PAUSED, name, "1"));
                    }
                }
                case RESUME -> {
                    if (jobTable.resume(name)) {
                        store.submitWithRetry(new StoreOperation.PutMetadata(PAUSED, name, null));
                    }
                }
                case REMOVE -> remove(jobTable.waitingIn(name), 0);
            }
        }
        coordinator.dispatchSoon();
        link.reply(Reply.ok());
    }

    private void remove(List<JobEntry> entries, int from) {
        for (JobEntry entry : entries.subList(from, Math.min(entries.size(), from + BATCH))) {
            if (jobTable.get(entry.id()) == entry && !entry.isDispatched()) {
                discard(entry, error -> {});
            }
        }
        if (from + BATCH < entries.size()) {
            loop.execute(() -> remove(entries, from + BATCH));
        }
    }

    // ---- FLUSH

    /**
     * Removes everything except dispatched jobs, which end by themselves. The record of a job that
     * may have run and must not run twice is kept as discarded.
     */
    void flush(FaktoryConnection link) {
        batches.clear();
        List<String> gone = new ArrayList<>();
        for (JobEntry entry : jobTable.all()) {
            if (entry.isDispatched() || entry.record().state() == JobRecord.State.RESERVED) {
                continue;
            }
            jobTable.remove(entry);
            if (RetryPolicy.mayRun(
                    entry.record(), coordinator.classOf(entry), coordinator.nowMs())) {
                gone.add(entry.id());
            } else {
                store.write(
                        entry.record()
                                .withState(
                                        JobRecord.State.DISCARDED,
                                        0,
                                        "flushed",
                                        coordinator.nowMs()));
            }
        }
        for (String name : jobTable.paused()) {
            jobTable.resume(name);
            store.submitWithRetry(new StoreOperation.PutMetadata(PAUSED, name, null));
        }
        drop(link, gone, 0);
    }

    private void drop(FaktoryConnection link, List<String> ids, int from) {
        if (from >= ids.size()) {
            link.reply(Reply.ok());
            return;
        }
        List<String> part = ids.subList(from, Math.min(ids.size(), from + BATCH));
        store.submit(
                new StoreOperation.Delete(part),
                done -> drop(link, ids, from + BATCH),
                () -> {
                    for (int i = from; i < ids.size(); i += BATCH) {
                        store.submitWithRetry(
                                new StoreOperation.Delete(
                                        ids.subList(i, Math.min(ids.size(), i + BATCH))));
                    }
                    link.reply(
                            Reply.error(
                                    "ERR the store is down; all is forgotten here and goes there"
                                            + " once it is back"));
                });
    }

    // ---- INFO

    String info(int links, long commands) {
        ObjectNode info =
                Json.MAPPER.createObjectNode().put("server_utc_time", CLOCK.format(Instant.now()));
        ObjectNode jobs = info.putObject("faktory");
        var queues = jobTable.queueSizes();
        jobs.put("default_size", queues.getOrDefault("default", 0))
                .put("total_enqueued", jobTable.size(JobRecord.State.QUEUED))
                .put("total_queues", queues.size())
                .put(
                        "total_processed",
                        counters.get(Count.ANSWERS_SERVED) + counters.get(Count.EXECUTIONS_ERROR))
                .put(
                        "total_failures",
                        counters.get(Count.EXECUTIONS_ERROR) + counters.get(Count.RUNS_FAILED));
        ObjectNode sizes = jobs.putObject("queues");
        queues.forEach(sizes::put);
        jobTable.paused().forEach(jobs.putArray("paused")::add);
        ObjectNode tasks = jobs.putObject("tasks");
        tasks.putObject("Workers")
                .put("size", consumers.all().size())
                .put(
                        "rss_kb",
                        consumers.all().stream().mapToLong(consumer -> consumer.rssKb).sum());
        tasks.putObject("Working").put("size", jobTable.size(JobRecord.State.RESERVED));
        tasks.putObject("Scheduled").put("size", jobTable.size(JobRecord.State.SCHEDULED));
        tasks.putObject("Retries").put("size", jobTable.size(JobRecord.State.RETRY));
        tasks.putObject("Dead").put("size", jobTable.size(JobRecord.State.DEAD));
        ObjectNode server = info.putObject("server");
        server.put("description", "damsonslip")
                .put("faktory_version", "1.9.0")
                .put("connections", links)
                .put("command_count", commands)
                .put("uptime", (loop.now() - startedUs) / 1_000_000)
                .put(
                        "used_memory_mb",
                        (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory())
                                >> 20);
        ObjectNode counted = info.putObject("counters");
        counters.each(counted::put);
        return info.toString();
    }
}
