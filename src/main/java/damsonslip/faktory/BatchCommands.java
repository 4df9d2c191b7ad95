package damsonslip.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.codec.Json;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.jobs.Batch;
import damsonslip.faktory.jobs.BatchTable;
import damsonslip.faktory.jobs.CallbackState;
import java.util.Arrays;
import java.util.UUID;

/** The BATCH commands: NEW, OPEN, COMMIT and STATUS. Confined to the event loop. */
final class BatchCommands {
    /** The maximum number of batches that exist at once. */
    private static final int MAX_BATCHES = 100_000;

    /** The number of hexadecimal digits in the id of a new batch. */
    private static final int ID_DIGITS = 16;

    private final JobFactory jobFactory;
    private final BatchService service;
    private final BatchTable batches;

    BatchCommands(JobFactory jobFactory, BatchService service) {
        this.jobFactory = jobFactory;
        this.service = service;
        this.batches = service.batches();
    }

    /** Handles BATCH NEW, whose reply is the new batch's id. */
    void create(FaktoryConnection connection, Command.BatchNew command) {
        String reason = rejectionReason(command);
        if (reason != null) {
            replyError(connection, reason);
            return;
        }
        if (!service.isRecovered()) {
            replyError(connection, "what is in the store is being taken up");
            return;
        }
        Batch batch =
                new Batch(
                        newId(),
                        command.parent(),
                        command.description(),
                        text(command.success()),
                        text(command.complete()),
                        false,
                        0,
                        CallbackState.NOT_YET,
                        CallbackState.NOT_YET,
                        service.nowMs());
        service.write(
                batch,
                () -> {
                    batches.add(batch);
                    connection.reply(Reply.bulk(batch.bid()));
                },
                () -> {
                    service.delete(batch.bid()); // the store may have it
                    replyError(connection, "the store is down and there is no new batch");
                });
    }

    private static String newId() {
        return "b-" + UUID.randomUUID().toString().replace("-", "").substring(0, ID_DIGITS);
    }

    private static String text(JsonNode job) {
        return job == null ? "" : job.toString();
    }

    private static void replyError(FaktoryConnection connection, String message) {
        connection.reply(Reply.error(CommandError.error(message)));
    }

    /** Why a batch cannot be created; null if it can. */
    private String rejectionReason(Command.BatchNew command) {
        for (JsonNode callback : Arrays.asList(command.success(), command.complete())) {
            String error = jobFactory.callbackError(callback);
            if (error != null) {
                return error;
            }
        }
        if (command.success() == null && command.complete() == null) {
            return "a batch needs a callback, success or complete";
        }
        String parentReason =
                command.parent().isEmpty() ? null : unavailableReason(command.parent());
        if (parentReason != null) {
            return parentReason;
        }
        return batches.size() >= MAX_BATCHES ? "too many batches are open" : null;
    }

    private String unavailableReason(String bid) {
        Batch parent = batches.get(bid);
        if (parent == null) {
            return "no such batch: " + bid;
        }
        boolean complete = parent.onComplete() != CallbackState.NOT_YET;
        return complete ? "batch " + bid + " is complete" : null;
    }

    /** Handles BATCH OPEN, whose reply is the batch's id. */
    void open(FaktoryConnection connection, String bid) {
        Batch batch = batches.open(bid);
        if (batch == null) {
            replyError(connection, unavailableReason(bid));
            return;
        }
        service.write(
                batch,
                () -> connection.reply(Reply.bulk(bid)),
                () -> replyError(connection, "the store is down"));
    }

    /** Handles BATCH COMMIT: the creator of the batch has pushed all of its jobs. */
    void commit(FaktoryConnection connection, String bid) {
        Batch batch = batches.commit(bid);
        if (batch == null) {
            replyError(connection, "no such batch: " + bid);
            return;
        }
        service.write(
                batch,
                () -> {
                    connection.reply(Reply.ok());
                    service.pushDueCallbacks(bid);
                },
                () -> {
                    reopen(bid);
                    String message = "the store is down and batch " + bid + " is not committed";
                    replyError(connection, message);
                });
    }

    /** Takes back a commit that the store may or may not have recorded. */
    private void reopen(String bid) {
        Batch reopened = batches.open(bid);
        if (reopened != null) {
            service.write(reopened);
        }
    }

    /** Handles BATCH STATUS, whose reply is the batch's state as JSON. */
    void status(FaktoryConnection connection, String bid) {
        Batch batch = batches.get(bid);
        if (batch == null) {
            replyError(connection, "no such batch: " + bid);
            return;
        }
        ObjectNode status = Json.MAPPER.createObjectNode();
        status.put("bid", bid)
                .put("total", batch.total())
                .put("pending", batches.pendingJobs(bid))
                .put("failed", batches.failedJobs(bid))
                .put("created_at", Json.formatTime(batch.createdMs()))
                .put("description", batch.description());
        if (!batch.parent().isEmpty()) {
            status.put("parent_bid", batch.parent());
        }
        status.put("complete_st", stateName(batch.onComplete()))
                .put("success_st", stateName(batch.onSuccess()));
        connection.reply(Reply.bulk(status.toString()));
    }

    /** Returns the code of the state in Faktory's protocol. */
    private static String stateName(CallbackState state) {
        return switch (state) {
            case NOT_YET -> "";
            case DUE -> "1";
            case DONE -> "2";
        };
    }
}
