package damsonslip.faktory;

import damsonslip.engine.EventLoop;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.jobs.RetryPolicy;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import java.util.ArrayList;
import java.util.List;

/**
 * Operators' commands on queues: QUEUE, which pauses, resumes or empties queues, and FLUSH, which
 * removes everything. Confined to the event loop.
 */
final class QueueCommands {
    /** The metadata kind under which the store holds paused queues. */
    static final String PAUSED_KIND = "paused";

    static final String PAUSED_VALUE = "1";
    private static final String ALL_QUEUES = "*";

    /**
     * The number of jobs removed in one task of the event loop, or deleted with one request to the
     * store.
     */
    private static final int BATCH_SIZE = 250;

    private static final CommandError NOT_DELETED =
            CommandError.error(
                    "the store is down; all is forgotten here and goes there once it is back");

    private final EventLoop loop;
    private final AsyncStore store;
    private final JobCoordinator coordinator;
    private final JobLifecycle lifecycle;
    private final JobTable jobTable;
    private final BatchService batches;

    QueueCommands(
            EventLoop loop, AsyncStore store, JobCoordinator coordinator, BatchService batches) {
        this.loop = loop;
        this.store = store;
        this.coordinator = coordinator;
        this.lifecycle = coordinator.lifecycle();
        this.jobTable = coordinator.jobTable();
        this.batches = batches;
    }

    /** Handles QUEUE. */
    void queue(FaktoryConnection connection, Command.Queue command) {
        for (String queue : queueNames(command)) {
            switch (command.verb()) {
                case PAUSE -> pause(queue);
                case RESUME -> resume(queue);
                case REMOVE -> removeBatch(jobTable.waitingIn(queue), 0);
            }
        }
        coordinator.dispatcher().dispatchSoon();
        connection.reply(Reply.ok());
    }

    private List<String> queueNames(Command.Queue command) {
        if (!command.names().contains(ALL_QUEUES)) {
            return command.names();
        }
        boolean resume = command.verb() == Command.Queue.Verb.RESUME;
        return new ArrayList<>(resume ? jobTable.paused() : jobTable.queueSizes().keySet());
    }

    private void pause(String queue) {
        if (jobTable.pause(queue)) {
            store.putMetadata(PAUSED_KIND, queue, PAUSED_VALUE);
        }
    }

    private void resume(String queue) {
        if (jobTable.resume(queue)) {
            store.putMetadata(PAUSED_KIND, queue, null);
        }
    }

    private void removeBatch(List<JobEntry> entries, int from) {
        int to = Math.min(entries.size(), from + BATCH_SIZE);
        for (JobEntry entry : entries.subList(from, to)) {
            if (jobTable.contains(entry) && !entry.isDispatched()) {
                lifecycle.discard(entry, "discarded by an operator", CommandCallback.IGNORE);
            }
        }
        if (to < entries.size()) {
            loop.execute(() -> removeBatch(entries, to));
        }
    }

    /**
     * Handles FLUSH: removes everything except jobs that are dispatched or reserved, which end in
     * the usual way. The record of a job that may have run and must not run twice stays in the
     * store as discarded.
     */
    void flush(FaktoryConnection connection) {
        batches.clear();
        List<String> deletable = new ArrayList<>();
        for (JobEntry entry : jobTable.all()) {
            boolean running =
                    entry.isDispatched() || entry.record().state() == JobRecord.State.RESERVED;
            if (!running) {
                flush(entry, deletable);
            }
        }
        jobTable.paused().forEach(this::resume);
        deleteAll(connection, deletable);
    }

    private void flush(JobEntry entry, List<String> deletable) {
        long nowMs = lifecycle.nowMs();
        jobTable.remove(entry);
        if (RetryPolicy.mayRun(entry.record(), lifecycle.classOf(entry), nowMs)) {
            deletable.add(entry.id());
        } else {
            lifecycle.recordEnd(
                    entry,
                    entry.record().withState(JobRecord.State.DISCARDED, 0, "flushed", nowMs));
        }
    }

    /**
     * Deletes jobs from the store, and replies after the first attempts. All deletes are submitted
     * at once, so that none of them follows a later push of the same job.
     */
    private void deleteAll(FaktoryConnection connection, List<String> ids) {
        Deletion deletion = new Deletion(connection);
        for (int from = 0; from < ids.size(); from += BATCH_SIZE) {
            int to = Math.min(ids.size(), from + BATCH_SIZE);
            deletion.started();
            store.delete(
                    ids.subList(from, to), () -> deletion.ended(true), () -> deletion.ended(false));
        }
        deletion.allStarted();
    }

    /** The progress of the deletes of one FLUSH, each of a part of the jobs. */
    private static final class Deletion {
        private final FaktoryConnection connection;

        /** The parts that have not ended; starting them counts as one. */
        private int open = 1;

        private boolean failed;

        Deletion(FaktoryConnection connection) {
            this.connection = connection;
        }

        void started() {
            open++;
        }

        void allStarted() {
            ended(true);
        }

        void ended(boolean succeeded) {
            failed |= !succeeded;
            if (--open == 0) {
                connection.reply(failed ? Reply.error(NOT_DELETED) : Reply.ok());
            }
        }
    }
}
