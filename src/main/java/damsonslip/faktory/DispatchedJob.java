package damsonslip.faktory;

import damsonslip.engine.Request;
import damsonslip.engine.RequestContext;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.RetryPolicy.RunFailure;
import damsonslip.store.JobRecord;

/**
 * A job while the decision module or a worker has it, with what is known of its runs. Confined to
 * the event loop.
 */
final class DispatchedJob implements Request.Payload {
    final JobEntry entry;

    /** When it was given to the decision module, in the loop's microseconds. */
    final long dispatchedUs;

    /** Its request in the engine; null until the engine has accepted it. */
    RequestContext context;

    /** Whether a worker may have run it before this dispatch. */
    final boolean ranBefore;

    /** Whether a worker has received it since this dispatch. */
    boolean ran;

    /** How the last of these runs failed; null if that is not known. */
    RunFailure failure;

    /** Why the decision module has rejected it; null if it has not. */
    CommandError rejection;

    /** Acknowledges the worker's report once the store has recorded it; null without a report. */
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
     * Records a worker's report.
     *
     * @param runFailure how the run failed; null if it succeeded
     */
    void reported(RunFailure runFailure, CommandCallback callback) {
        failure = runFailure;
        reportCallback = callback;
    }

    /** Removes and returns the callback of the last report; one that does nothing if none waits. */
    CommandCallback takeReportCallback() {
        CommandCallback callback = reportCallback;
        reportCallback = null;
        return callback == null ? CommandCallback.IGNORE : callback;
    }
}
