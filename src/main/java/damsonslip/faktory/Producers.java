package damsonslip.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.engine.LifecyclePhase;
import damsonslip.faktory.JobFactory.NewJob;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.codec.Json;
import damsonslip.faktory.codec.MalformedCommandException;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.StoreOperation;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The producer side of the Faktory frontend: PUSH and PUSHB. A push is acknowledged once the store
 * has recorded the job; a repeated push of a job is acknowledged without a second run. Confined to
 * the event loop.
 */
final class Producers {
    private static final CommandError UNKNOWN_WHETHER_RUN =
            CommandError.error(
                    "the store has lost its data, and it is not known any more whether this job has"
                            + " run; it was not taken");

    private static final CommandError NOT_ADDED =
            CommandError.error("the store is down and the job was not taken; push it again");

    private final AsyncStore store;
    private final LifecyclePhase phase;
    private final Counters counters;
    private final JobFactory jobFactory;
    private final JobCoordinator coordinator;
    private final JobTable jobTable;
    private final BatchService batches;
    private final EndedJobs endedJobs;
    private final UnconfirmedPushes unconfirmed;

    /** Whether the recovery from the store is complete. */
    private boolean recovered;

    Producers(
            EventLoop loop,
            AsyncStore store,
            LifecyclePhase phase,
            Counters counters,
            JobFactory jobFactory,
            JobCoordinator coordinator,
            BatchService batches,
            EndedJobs endedJobs) {
        this.store = store;
        this.phase = phase;
        this.counters = counters;
        this.jobFactory = jobFactory;
        this.coordinator = coordinator;
        this.jobTable = coordinator.jobTable();
        this.batches = batches;
        this.endedJobs = endedJobs;
        this.unconfirmed = new UnconfirmedPushes(loop, store, jobTable);
    }

    /** Called once the recovery from the store is complete. */
    void recoveryCompleted() {
        recovered = true;
    }

    /**
     * Handles PUSH, whose reply is OK or an error, or PUSHB, whose reply maps the ids of jobs that
     * were not accepted to errors.
     */
    void push(FaktoryConnection connection, Command.Push push) {
        if (push.bulk()) {
            pushBulk(connection, push);
        } else {
            push(push.jobs().get(0), CommandCallback.replyTo(connection));
        }
    }

    private void pushBulk(FaktoryConnection connection, Command.Push push) {
        if (push.jobs().isEmpty()) {
            connection.reply(Reply.bulk("{}"));
            return;
        }
        ObjectNode errors = Json.MAPPER.createObjectNode();
        int[] remaining = {push.jobs().size()};
        for (JsonNode job : push.jobs()) {
            String jid = job.path("jid").asText("");
            push(
                    job,
                    error -> {
                        error.ifPresent(reason -> errors.put(jid, reason.text()));
                        if (--remaining[0] == 0) {
                            connection.reply(Reply.bulk(errors.toString()));
                        }
                    });
        }
    }

    private void push(JsonNode job, CommandCallback callback) {
        if (phase.hasReached(LifecyclePhase.State.FINISHING)) {
            String message = "this scheduler is going away";
            callback.failed(new CommandError(CommandError.Code.SHUTDOWN, message));
            return;
        }
        try {
            NewJob newJob = jobFactory.create(job);
            if (isKnownToHaveRun(newJob.id())) { // whatever the store says
                counters.add(Count.PUSHES_REPEATED);
                callback.succeeded();
                return;
            }
            Optional<CommandError> rejection = rejection(newJob);
            if (rejection.isPresent()) {
                counters.add(Count.PUSHES_REFUSED);
                callback.completed(rejection);
            } else {
                add(newJob, callback);
            }
        } catch (MalformedCommandException e) {
            counters.add(Count.QUERIES_BAD);
            callback.failed(new CommandError(CommandError.Code.MALFORMED, e.getMessage()));
        }
    }

    /**
     * Returns why a well-formed job cannot be accepted now, if so; otherwise acquires the lock of a
     * unique job.
     */
    private Optional<CommandError> rejection(NewJob job) {
        JobRecord record = job.record();
        if (mayHaveRunUnknown(job)) {
            return Optional.of(UNKNOWN_WHETHER_RUN);
        }
        String reason = rejectionReason(record);
        if (reason != null) {
            return Optional.of(CommandError.error(reason));
        }
        return jobTable.lockUnique(record.id(), record.options(), coordinator.nowMs())
                ? Optional.empty()
                : Optional.of(new CommandError(CommandError.Code.NOTUNIQUE, "Job not unique"));
    }

    /**
     * Whether a job has ended and must not run again, or is open and may have run. Such a push is
     * not written: to a store without its data it would be a new job.
     */
    private boolean isKnownToHaveRun(String jid) {
        JobEntry open = jobTable.get(jid);
        return endedJobs.contains(jid) || (open != null && !open.record().hasNeverRun());
    }

    /** Whether a job that must not run twice may have ended, and neither we nor the store know. */
    private boolean mayHaveRunUnknown(NewJob job) {
        return !endedJobs.vouchesForAbsence()
                && coordinator.lifecycle().mustNotRunTwice(job.jobClass())
                && jobTable.get(job.id()) == null;
    }

    private String rejectionReason(JobRecord record) {
        JobRecord.Options options = record.options();
        boolean inBatch = !options.batchId().isEmpty();
        if (!recovered && (inBatch || !options.uniqueKey().isEmpty())) {
            return "what is in the store is being taken up; push it again in a moment";
        }
        String batchReason = inBatch ? batches.rejectionReason(options.batchId()) : null;
        if (batchReason != null) {
            return batchReason;
        }
        boolean repeated = jobTable.get(record.id()) != null;
        boolean dispatchedAtOnce = record.hasWaitingClient() && record.dueMs() == 0;
        boolean needsNoCapacity = dispatchedAtOnce || repeated;
        return needsNoCapacity ? null : jobTable.rejectionReason(options.queue());
    }

    private void add(NewJob job, CommandCallback callback) {
        submit(
                job,
                new StoreOperation.Add(job.record(), job.body()),
                existing -> added(job, existing, callback),
                callback);
    }

    /** Replaces the record and the body of a job that was rejected and is pushed again. */
    private void replace(NewJob job, CommandCallback callback) {
        submit(
                job,
                new StoreOperation.Replace(job.record(), job.body()),
                done -> {
                    unconfirmed.confirm(job.id());
                    callback.completed(accept(job.record(), job.jobClass()));
                },
                callback);
    }

    /** Submits the write of a push, which is attempted once: the producer repeats it on failure. */
    private <T> void submit(
            NewJob job,
            StoreOperation<T> operation,
            Consumer<T> onSuccess,
            CommandCallback callback) {
        unconfirmed.addStarted(job.id());
        store.submit(
                operation,
                result -> {
                    unconfirmed.addEnded(job.id());
                    onSuccess.accept(result);
                },
                () -> {
                    unconfirmed.addEnded(job.id());
                    addFailed(job.record());
                    callback.failed(NOT_ADDED);
                });
    }

    private void addFailed(JobRecord record) {
        if (jobTable.get(record.id()) == null) {
            jobTable.unlockUnique(record.id(), record.options());
            unconfirmed.addFailed(record);
        }
    }

    /**
     * Called once the store has the job, from this push or an earlier one.
     *
     * @param existing the record that the store had before this push; null if there was none
     * @param callback called with the error if the job is rejected immediately
     */
    private void added(NewJob job, JobRecord existing, CommandCallback callback) {
        Set<JobRecord> unconfirmedRecords = unconfirmed.confirm(job.id());
        JobEntry entry = jobTable.get(job.id());
        boolean open = entry != null;
        if (existing == null) {
            if (open) { // the store has lost its data: the record that it has now is not the job's
                store.write(entry.record());
            }
            callback.completed(accept(job.record(), job.jobClass()));
        } else if (existing.state() == JobRecord.State.REJECTED && !open) {
            replace(job, callback); // a rejected job may be pushed again
        } else if (unconfirmedRecords.contains(existing) && !open) {
            // an earlier push had lost its result
            callback.completed(accept(existing, job.jobClass()));
        } else {
            acceptRepeated(job, open, callback);
        }
    }

    private void acceptRepeated(NewJob job, boolean open, CommandCallback callback) {
        if (!open) {
            jobTable.unlockUnique(job.id(), job.record().options());
        }
        counters.add(Count.PUSHES_REPEATED);
        callback.completed(Optional.empty());
    }

    private Optional<CommandError> accept(JobRecord record, int jobClass) {
        if (jobTable.get(record.id()) != null) {
            counters.add(Count.PUSHES_REPEATED);
            return Optional.empty();
        }
        if (!record.options().batchId().isEmpty()) {
            batches.countPushedJob(record.options().batchId());
        }
        return coordinator.admit(record, jobClass);
    }
}
