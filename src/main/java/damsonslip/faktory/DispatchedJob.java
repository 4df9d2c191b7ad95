package damsonslip.faktory;

import damsonslip.engine.Request;
import damsonslip.engine.RequestContext;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.RetryPolicy.RunFailure;
import damsonslip.store.JobRecord;

/**
 * A job that is dispatched to the scheduling policy or reserved by a worker, with the state of its
 * runs. Confined to the event loop.
 */
final class DispatchedJob implements Request.Payload {
    final JobEntry entry;

    /** When it was dispatched to the scheduling policy, in microseconds of the event loop. */
    final long dispatchedUs;

    /** The context of its request in the engine; null until the request is submitted. */
    RequestContext context;

    /** Whether a worker may have run it before this dispatch. */
    final boolean ranBefore;

    /** Whether a worker has received it since this dispatch. */
    boolean ran;

    /** How its last run since this dispatch failed; null if it has not, or if that is not known. */
    RunFailure failure;

    /** Why it was rejected; null if it was not. */
    CommandError rejection;

    /** Replies to the worker's report once the store has recorded it; null without a report. */
    private CommandCallback reportCallback;

    DispatchedJob(JobEntry entry, long dispatchedUs) {
        this.entry = entry;
        this.dispatchedUs = dispatchedUs;
        this.ranBefore = !entry.record().hasNeverRun();
    }

    String jid() {
        return entry.id();
    }

    String queue() {
        return entry.record().options().queue();
    }

    JobRecord record() {
        return entry.record();
    }

    /**
     * Sets a worker's report.
     *
     * @param runFailure how the run failed; null if it succeeded
     */
    void reported(RunFailure runFailure, CommandCallback callback) {
        failure = runFailure;
        reportCallback = callback;
    }

    /**
     * Removes and returns the callback of the last report; {@link CommandCallback#IGNORE} if there
     * is none.
     */
    CommandCallback takeReportCallback() {
        CommandCallback callback = reportCallback;
        reportCallback = null;
        return callback == null ? CommandCallback.IGNORE : callback;
    }
}
