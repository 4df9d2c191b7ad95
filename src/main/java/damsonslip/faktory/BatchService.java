package damsonslip.faktory;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.Json;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.jobs.BatchTable;
import damsonslip.faktory.jobs.BatchTable.Batch;
import damsonslip.faktory.jobs.BatchTable.CallbackState;
import damsonslip.faktory.jobs.BatchTable.DueCallback;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.StoreOperation;
import java.util.Arrays;
import java.util.Map;
import java.util.UUID;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The commands on batches, their persistence in the store, and the pushing of their callbacks.
 * Confined to the event loop.
 */
final class BatchService {
    private static final Logger LOG = LoggerFactory.getLogger(BatchService.class);

    /** The kind of the store's notes that hold batches. */
    static final String NOTE = "batch";

    /** Most batches at once. */
    private static final int MAX_BATCHES = 100_000;

    private final AsyncStore store;
    private final JobCoordinator coordinator;
    private final BatchTable batches;
    private Producers producers;
    private boolean recovered;

    BatchService(AsyncStore store, JobCoordinator coordinator) {
        this.store = store;
        this.coordinator = coordinator;
        this.batches = new BatchTable(coordinator.jobTable());
        coordinator.setListeners(this::settle, this::succeeded);
    }

    /** Sets the service that pushes callbacks; called once, before any connection is accepted. */
    void setProducers(Producers pusher) {
        producers = pusher;
    }

    /** Why no job may be pushed into this batch; null if one may. */
    String closed(String bid) {
        return batches.rejectionReason(bid);
    }

    void pushed(String bid) {
        keep(batches.countPushedJob(bid));
    }

    // ---- commands

    void create(FaktoryConnection link, Command.BatchNew fresh) {
        String reason = rejectionReason(fresh);
        if (!recovered || reason != null) {
            link.reply(
                    Reply.error(
                            "ERR "
                                    + (reason == null
                                            ? "what is in the store is being taken up"
                                            : reason)));
            return;
        }
        Batch batch =
                new Batch(
                        "b-" + UUID.randomUUID().toString().replace("-", "").substring(0, 16),
                        fresh.parent(),
                        fresh.description(),
                        text(fresh.success()),
                        text(fresh.complete()),
                        false,
                        0,
                        CallbackState.NOT_YET,
                        CallbackState.NOT_YET,
                        coordinator.nowMs());
        store.submit(
                note(batch),
                done -> {
                    batches.add(batch);
                    link.reply(Reply.bulk(batch.bid()));
                },
                () -> link.reply(Reply.error("ERR the store is down and there is no new batch")));
    }

    /** Why a batch cannot be created; null if it can. */
    private String rejectionReason(Command.BatchNew fresh) {
        for (JsonNode callback : Arrays.asList(fresh.success(), fresh.complete())) {
            String error = producers.callbackError(callback);
            if (error != null) {
                return error;
            }
        }
        if (fresh.success() == null && fresh.complete() == null) {
            return "a batch needs a callback, success or complete";
        }
        if (!fresh.parent().isEmpty()) {
            Batch parent = batches.get(fresh.parent());
            if (parent == null) {
                return "no such batch: " + fresh.parent();
            }
            if (parent.onComplete() != CallbackState.NOT_YET) {
                return "batch " + fresh.parent() + " is complete";
            }
        }
        return batches.size() >= MAX_BATCHES ? "too many batches are open" : null;
    }

    private static String text(JsonNode job) {
        return job == null ? "" : job.toString();
    }

    void open(FaktoryConnection link, String bid) {
        Batch batch = batches.open(bid);
        if (batch == null) {
            link.reply(
                    Reply.error(
                            "ERR "
                                    + (batches.get(bid) == null
                                            ? "no such batch: " + bid
                                            : "batch " + bid + " is complete")));
            return;
        }
        store.submit(
                note(batch),
                done -> link.reply(Reply.bulk(bid)),
                () -> link.reply(Reply.error("ERR the store is down")));
    }

    void commit(FaktoryConnection link, String bid) {
        Batch batch = batches.get(bid);
        if (batch == null) {
            link.reply(Reply.error("ERR no such batch: " + bid));
            return;
        }
        store.submit(
                note(batches.commit(bid)),
                done -> {
                    link.reply(Reply.ok());
                    settle(bid);
                },
                () -> {
                    batches.open(bid);
                    link.reply(
                            Reply.error(
                                    "ERR the store is down and batch "
                                            + bid
                                            + " is not committed"));
                });
    }

    void status(FaktoryConnection link, String bid) {
        Batch batch = batches.get(bid);
        if (batch == null) {
            link.reply(Reply.error("ERR no such batch: " + bid));
            return;
        }
        ObjectNode status =
                Json.MAPPER
                        .createObjectNode()
                        .put("bid", bid)
                        .put("total", batch.total())
                        .put("pending", batches.pendingJobs(bid))
                        .put("failed", batches.failedJobs(bid))
                        .put("created_at", Json.time(batch.createdMs()))
                        .put("description", batch.description());
        if (!batch.parent().isEmpty()) {
            status.put("parent_bid", batch.parent());
        }
        status.put("complete_st", state(batch.onComplete()))
                .put("success_st", state(batch.onSuccess()));
        link.reply(Reply.bulk(status.toString()));
    }

    private static String state(CallbackState callback) {
        return switch (callback) {
            case NOT_YET -> "";
            case DUE -> "1";
            case DONE -> "2";
        };
    }

    // ---- callbacks

    private void settle(String bid) {
        for (DueCallback due : batches.collectDueCallbacks(bid)) {
            keep(due.batch());
            push(due);
        }
    }

    private void push(DueCallback due) {
        if (due.job().isEmpty()) {
            return;
        }
        String bid = due.batch().bid();
        producers.pushCallback(
                due.job(),
                due.batch().callbackJobId(due.success()),
                bid,
                before -> {
                    if (before.state() == JobRecord.State.SUCCESS) { // it ran before a restart
                        ran(bid, due.success());
                    }
                });
    }

    private void succeeded(JobRecord record) {
        String bid = record.options().callbackBatchId();
        if (!bid.isEmpty()) {
            ran(bid, record.id().endsWith("-success"));
        }
    }

    private void ran(String bid, boolean success) {
        Batch batch = batches.markCallbackDone(bid, success);
        if (batch != null) {
            keep(batch);
            settle(bid);
        }
    }

    // ---- the store

    private static StoreOperation.PutMetadata note(Batch batch) {
        try {
            return new StoreOperation.PutMetadata(
                    NOTE, batch.bid(), Json.MAPPER.writeValueAsString(batch));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a batch of plain values", e);
        }
    }

    private void keep(Batch batch) {
        StoreOperation.PutMetadata now = note(batch);
        store.submit(
                now,
                done -> {},
                () -> {
                    Batch newest = batches.get(batch.bid());
                    if (newest != null) {
                        store.submitWithRetry(note(newest));
                    }
                });
    }

    /** Recovers the batches of the store; called before any job is recovered. */
    void load(Map<String, String> notes) {
        notes.forEach(
                (bid, text) -> {
                    try {
                        batches.add(Json.MAPPER.readValue(text, Batch.class));
                    } catch (JsonProcessingException e) {
                        LOG.warn("batch {} from the store cannot be read", bid);
                    }
                });
    }

    /**
     * Resumes callbacks that were due before the stop or became due by it; called once all jobs are
     * recovered.
     */
    void recovered() {
        recovered = true;
        batches.correctTotals();
        batches.unfinishedCallbacks().forEach(this::push);
        batches.all().forEach(batch -> settle(batch.bid()));
        batches.removeExpired(coordinator.nowMs()).forEach(this::drop);
    }

    void clear() {
        batches.all().forEach(batch -> drop(batch.bid()));
        batches.clear();
    }

    private void drop(String bid) {
        store.submitWithRetry(new StoreOperation.PutMetadata(NOTE, bid, null));
    }
}
