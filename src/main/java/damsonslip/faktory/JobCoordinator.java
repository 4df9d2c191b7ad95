package damsonslip.faktory;

import damsonslip.config.SiteSettings;
import damsonslip.engine.Counters;
import damsonslip.engine.EventLoop;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.SchedulerEngine;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import java.util.List;
import java.util.Optional;

/**
 * Puts jobs into their queues when they are pushed, recovered from the store or due, and owns the
 * services that handle them after that. {@link damsonslip.faktory.jobs.RetryPolicy} decides what
 * follows a failed run; only the scheduling policy decides which worker gets a job and whether it
 * is rejected. Confined to the event loop.
 */
final class JobCoordinator {
    /**
     * The maximum number of due jobs enqueued in one task of the event loop, so that ten thousand
     * that fall due at once do not delay other tasks.
     */
    private static final int DUE_BATCH_SIZE = 200;

    private static final long SWEEP_INTERVAL_US = 100_000;

    /** Expired dead jobs and locks are removed once in this number of sweeps. */
    private static final int SWEEPS_PER_HOUSEKEEPING = 100;

    private final EventLoop loop;
    private final LifecyclePhase phase;
    private final JobTable jobTable;
    private final JobLifecycle lifecycle;
    private final JobDispatcher dispatcher;
    private final LateReports lateReports;
    private int sweeps;

    JobCoordinator(
            EventLoop loop,
            SiteSettings site,
            SchedulerEngine engine,
            AsyncStore store,
            LifecyclePhase phase,
            Counters counters,
            JobLifecycle lifecycle,
            FetchDirectory fetchDirectory,
            boolean fairQueueOrder) {
        this.loop = loop;
        this.phase = phase;
        this.jobTable = lifecycle.jobTable();
        this.lifecycle = lifecycle;
        JobCompletion completion = new JobCompletion(lifecycle, counters);
        this.dispatcher =
                new JobDispatcher(
                        loop,
                        site,
                        engine,
                        store,
                        phase,
                        lifecycle,
                        completion,
                        fetchDirectory,
                        fairQueueOrder);
        this.lateReports = new LateReports(loop, lifecycle, completion, fetchDirectory, counters);
        loop.repeatAfter(SWEEP_INTERVAL_US, this::sweep);
    }

    JobTable jobTable() {
        return jobTable;
    }

    JobLifecycle lifecycle() {
        return lifecycle;
    }

    JobDispatcher dispatcher() {
        return dispatcher;
    }

    LateReports lateReports() {
        return lateReports;
    }

    /** Returns the time of the event loop, in milliseconds since the Unix epoch. */
    long nowMs() {
        return lifecycle.nowMs();
    }

    /** Adds a job that the store has recorded; returns the error if it is rejected immediately. */
    Optional<CommandError> admit(JobRecord record, int jobClass) {
        JobEntry entry = jobTable.add(record, jobClass);
        boolean queued = record.state() == JobRecord.State.QUEUED;
        jobTable.setEnqueuedMs(entry, queued ? nowMs() : 0);
        if (queued && record.hasWaitingClient()) {
            return dispatcher.dispatch(entry);
        }
        dispatcher.dispatchSoon();
        return Optional.empty();
    }

    /** Appends a job to its queue, without recording that in the store. */
    private void enqueue(JobEntry entry) {
        lifecycle.moveToQueue(entry);
        dispatchIfAwaited(entry);
    }

    /** Dispatches a queued job at once if a client waits for it; it may be rejected at once. */
    void dispatchIfAwaited(JobEntry entry) {
        if (entry.record().hasWaitingClient()) {
            dispatcher.dispatch(entry);
        }
    }

    private void sweep() {
        if (phase.is(LifecyclePhase.State.SERVING) || phase.is(LifecyclePhase.State.LEAVING)) {
            enqueueDue();
            dispatcher.withdrawUnfetched();
            dispatcher.dispatchSoon();
            if (++sweeps % SWEEPS_PER_HOUSEKEEPING == 0) {
                removeExpired();
            }
        }
    }

    private void removeExpired() {
        for (JobEntry entry : jobTable.expiredDead(nowMs())) {
            lifecycle.discard(entry, "dead for too long", CommandCallback.IGNORE);
        }
        jobTable.removeExpiredLocks(nowMs());
    }

    /**
     * Enqueues due jobs in batches, so that other tasks run in between. The store is not updated:
     * recovery treats a scheduled job that is due like a queued one.
     */
    private void enqueueDue() {
        List<JobEntry> due = jobTable.due(nowMs(), DUE_BATCH_SIZE);
        for (JobEntry entry : due) {
            if (!lifecycle.discardIfExpired(entry)) {
                enqueue(entry);
            }
        }
        if (!due.isEmpty()) {
            dispatcher.dispatchSoon();
        }
        if (due.size() == DUE_BATCH_SIZE) {
            loop.execute(this::enqueueDue);
        }
    }
}
