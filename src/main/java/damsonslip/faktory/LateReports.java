package damsonslip.faktory;

import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.jobs.RetryPolicy;
import damsonslip.faktory.jobs.RetryPolicy.RunFailure;
import damsonslip.store.JobRecord;

/**
 * Handles workers' reports on jobs that are no longer dispatched: those that workers received
 * before a restart, and those whose reservation has expired. Confined to the event loop.
 */
final class LateReports {
    private final EventLoop loop;
    private final JobLifecycle lifecycle;
    private final JobCompletion completion;
    private final JobTable jobTable;
    private final FetchDirectory fetchDirectory;
    private final Counters counters;

    LateReports(
            EventLoop loop,
            JobLifecycle lifecycle,
            JobCompletion completion,
            FetchDirectory fetchDirectory,
            Counters counters) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.completion = completion;
        this.jobTable = lifecycle.jobTable();
        this.fetchDirectory = fetchDirectory;
        this.counters = counters;
    }

    /**
     * Handles a worker's report on a job that it received before a restart, or whose reservation
     * has expired. The former ends the run; the latter is accepted only if it reports the success
     * of a job that is waiting for a retry or dead.
     *
     * @param failure how the run failed; null if it succeeded
     * @param callback called once the store has recorded the report
     * @return whether the report was accepted
     */
    boolean report(String worker, String jid, RunFailure failure, CommandCallback callback) {
        JobEntry entry = jobTable.get(jid);
        if (entry == null || entry.isDispatched() || !entry.record().worker().equals(worker)) {
            return false;
        }
        JobRecord record = entry.record();
        boolean reserved = record.state() == JobRecord.State.RESERVED;
        if (!reserved && !(failure == null && maySucceedLate(record))) {
            return false;
        }
        if (failure == null) {
            counters.add(Count.ANSWERS_SERVED);
            lifecycle.succeed(entry, callback);
        } else {
            completion.endOrphanedRun(entry, failure, callback);
        }
        return true;
    }

    private static boolean maySucceedLate(JobRecord record) {
        return !record.hasWaitingClient()
                && (record.state() == JobRecord.State.RETRY
                        || record.state() == JobRecord.State.DEAD);
    }

    /**
     * Waits for the report of the worker that received the job before a restart: until the
     * reservation or deadline ends, or for {@link RetryPolicy#ORPHAN_TIMEOUT_MS} if the worker does
     * not reconnect.
     */
    void await(JobEntry entry) {
        long deadlineMs = RetryPolicy.reportDeadlineMs(entry.record());
        long orphanedMs = lifecycle.nowMs() + RetryPolicy.ORPHAN_TIMEOUT_MS;
        loop.scheduleAt(Math.min(deadlineMs, orphanedMs) * 1000, () -> check(entry, deadlineMs));
    }

    private void check(JobEntry entry, long deadlineMs) {
        if (!isAwaitingReport(entry)) {
            return;
        }
        boolean connected = fetchDirectory.isPresent(entry.record().worker());
        if (lifecycle.nowMs() < deadlineMs && connected) {
            loop.scheduleAt(deadlineMs * 1000, () -> check(entry, deadlineMs));
        } else {
            completion.endOrphanedRun(
                    entry, RunFailure.RESERVATION_EXPIRED, CommandCallback.IGNORE);
        }
    }

    private boolean isAwaitingReport(JobEntry entry) {
        JobRecord.State state = entry.record().state();
        boolean mayRun = state == JobRecord.State.RESERVED || state == JobRecord.State.QUEUED;
        return jobTable.contains(entry)
                && !entry.isDispatched()
                && !entry.record().hasNeverRun()
                && mayRun;
    }
}
