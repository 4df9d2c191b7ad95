package damsonslip.faktory;

import damsonslip.engine.EventLoop;
import damsonslip.faktory.codec.Command.Mutate;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.codec.JobJson;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.jobs.Glob;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.jobs.RetryPolicy;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.StoreOperation;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The MUTATE command: changes the jobs of the scheduled, retry or dead set that a filter selects.
 * Confined to the event loop.
 */
final class MutateCommand {
    /** The number of jobs changed, or of bodies read, in one task of the event loop. */
    private static final int BATCH_SIZE = 250;

    private static final CommandError STORE_DOWN =
            CommandError.error("the store is down and nothing was changed");

    private static final CommandError NOT_RECORDED =
            CommandError.error(
                    "the store is down; the change is kept here and written once it is back");

    private final EventLoop loop;
    private final AsyncStore store;
    private final JobCoordinator coordinator;
    private final JobLifecycle lifecycle;
    private final JobTable jobTable;

    MutateCommand(EventLoop loop, AsyncStore store, JobCoordinator coordinator) {
        this.loop = loop;
        this.store = store;
        this.coordinator = coordinator;
        this.lifecycle = coordinator.lifecycle();
        this.jobTable = coordinator.jobTable();
    }

    /** The progress of one command. */
    private static final class Mutation {
        final Mutate.Verb verb;
        final List<JobEntry> jobs;
        final FaktoryConnection connection;

        /** The number of jobs not handled yet. */
        int remaining;

        /** The number of jobs left unchanged because they may have run and must not run twice. */
        int skipped;

        /** Whether the store failed to record a change. */
        boolean unrecorded;

        Mutation(Mutate.Verb verb, List<JobEntry> jobs, FaktoryConnection connection) {
            this.verb = verb;
            this.jobs = jobs;
            this.connection = connection;
            this.remaining = jobs.size();
        }

        /** Called once for each job; sends the reply after the last one. */
        void jobHandled(Optional<CommandError> error) {
            unrecorded |= error.isPresent();
            if (--remaining == 0) {
                reply();
            }
        }

        void reply() {
            if (skipped > 0) {
                String counts = skipped + " of " + jobs.size();
                String message =
                        counts + " may have run and must not run twice; they stay where they are";
                connection.reply(Reply.error(CommandError.error(message)));
            } else if (unrecorded) {
                connection.reply(Reply.error(NOT_RECORDED));
            } else {
                connection.reply(Reply.ok());
            }
        }
    }

    /** Handles the command; the reply is sent once all changes are recorded. */
    void execute(FaktoryConnection connection, Mutate command) {
        List<JobEntry> jobs = new ArrayList<>(jobTable.jobsIn(state(command.target())));
        if (command.verb() == Mutate.Verb.CLEAR) { // empties the set and ignores the filter
            change(new Mutation(command.verb(), jobs, connection));
            return;
        }
        Mutate.Filter filter = command.filter();
        Set<String> ids = Set.copyOf(filter.jids());
        jobs.removeIf(entry -> !matchesType(filter, entry));
        jobs.removeIf(entry -> !ids.isEmpty() && !ids.contains(entry.id()));
        if (filter.glob().isEmpty()) {
            change(new Mutation(command.verb(), jobs, connection));
            return;
        }
        filterByText(
                new Glob(filter.glob()),
                jobs,
                0,
                new ArrayList<>(),
                found -> change(new Mutation(command.verb(), found, connection)),
                () -> connection.reply(Reply.error(STORE_DOWN)));
    }

    private static JobRecord.State state(Mutate.Target target) {
        return switch (target) {
            case SCHEDULED -> JobRecord.State.SCHEDULED;
            case RETRIES -> JobRecord.State.RETRY;
            case DEAD -> JobRecord.State.DEAD;
        };
    }

    private static boolean matchesType(Mutate.Filter filter, JobEntry entry) {
        String jobtype = entry.record().options().jobtype();
        return filter.jobtype().isEmpty() || filter.jobtype().equals(jobtype);
    }

    /** Filters jobs by their JSON text; the bodies are read from the store in batches. */
    private void filterByText(
            Glob glob,
            List<JobEntry> jobs,
            int from,
            List<JobEntry> found,
            Consumer<List<JobEntry>> onSuccess,
            Runnable onFailure) {
        if (from >= jobs.size()) {
            onSuccess.accept(found);
            return;
        }
        int to = Math.min(jobs.size(), from + BATCH_SIZE);
        List<JobEntry> batch = jobs.subList(from, to);
        store.submit(
                new StoreOperation.GetBodies(batch.stream().map(JobEntry::id).toList()),
                bodies -> {
                    found.addAll(matching(glob, batch, bodies));
                    filterByText(glob, jobs, to, found, onSuccess, onFailure);
                },
                onFailure);
    }

    private static List<JobEntry> matching(Glob glob, List<JobEntry> jobs, List<String> bodies) {
        List<JobEntry> matching = new ArrayList<>();
        for (int i = 0; i < jobs.size(); i++) {
            JobEntry entry = jobs.get(i);
            String body = bodies.get(i);
            if (body != null && glob.matches(JobJson.merge(body, entry.record(), 0))) {
                matching.add(entry);
            }
        }
        return matching;
    }

    private void change(Mutation mutation) {
        if (mutation.jobs.isEmpty()) {
            mutation.reply();
        } else {
            changeBatch(mutation, 0);
        }
    }

    private void changeBatch(Mutation mutation, int from) {
        int to = Math.min(mutation.jobs.size(), from + BATCH_SIZE);
        mutation.jobs.subList(from, to).forEach(entry -> change(mutation, entry));
        if (to < mutation.jobs.size()) {
            loop.execute(() -> changeBatch(mutation, to));
        }
    }

    private void change(Mutation mutation, JobEntry entry) {
        boolean changedMeanwhile =
                !jobTable.contains(entry)
                        || entry.isDispatched()
                        || entry.record().state() == JobRecord.State.QUEUED;
        if (changedMeanwhile) {
            mutation.jobHandled(Optional.empty());
            return;
        }
        switch (mutation.verb) {
            case CLEAR, DISCARD ->
                    lifecycle.discard(entry, "discarded by an operator", mutation::jobHandled);
            case KILL -> lifecycle.kill(entry, "killed by an operator", mutation::jobHandled);
            case REQUEUE -> requeue(mutation, entry);
        }
    }

    private void requeue(Mutation mutation, JobEntry entry) {
        boolean mayRun =
                RetryPolicy.mayRun(entry.record(), lifecycle.classOf(entry), lifecycle.nowMs());
        if (!mayRun) {
            mutation.skipped++;
            mutation.jobHandled(Optional.empty());
            return;
        }
        lifecycle.moveToQueue(entry);
        store.write(
                entry.record(),
                () -> mutation.jobHandled(Optional.empty()),
                () -> mutation.jobHandled(Optional.of(NOT_RECORDED)));
        coordinator.dispatchIfAwaited(entry); // after the write: it may end the job
        coordinator.dispatcher().dispatchSoon();
    }
}
