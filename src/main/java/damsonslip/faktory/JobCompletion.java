package damsonslip.faktory;

import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.Response;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.RetryPolicy;
import damsonslip.faktory.jobs.RetryPolicy.RunFailure;
import damsonslip.policy.api.Idempotency;
import damsonslip.store.JobRecord;
import java.security.SecureRandom;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Decides what happens to a job that was not served: rejection, retry or a final state. A
 * non-idempotent job that may have run is moved to the dead set. Confined to the event loop.
 */
final class JobCompletion {
    private final JobLifecycle lifecycle;
    private final Counters counters;
    private final SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());

    JobCompletion(JobLifecycle lifecycle, Counters counters) {
        this.lifecycle = lifecycle;
        this.counters = counters;
    }

    /** Ends an awaited job that was not served; returns the error if it was rejected. */
    Optional<CommandError> finishAwaited(
            DispatchedJob dispatched, Response response, CommandCallback callback) {
        JobEntry entry = dispatched.entry;
        String message = describe(response) + describe(dispatched.failure);
        boolean mayHaveRun = dispatched.ran || dispatched.ranBefore;
        if (mayHaveRun && !isIdempotent(entry)) {
            lifecycle.kill(entry, "it may have run; " + message, callback);
            return Optional.empty();
        }
        if (response.kind() != Response.Kind.THROTTLED) {
            lifecycle.fail(entry, message, callback);
            return Optional.empty();
        }
        JobRecord rejected =
                entry.record().withState(JobRecord.State.REJECTED, 0, message, lifecycle.nowMs());
        lifecycle.transition(entry, rejected, callback);
        return Optional.of(CommandError.error(message));
    }

    private boolean isIdempotent(JobEntry entry) {
        return lifecycle.classOf(entry).idempotency() == Idempotency.IDEMPOTENT;
    }

    private static String describe(Response response) {
        return switch (response.kind()) {
            case SERVED -> "";
            case THROTTLED -> describeThrottling(response.retryAfterUs());
            case FAILED -> response.deadlineReached() ? "out of time" : "failed";
        };
    }

    private static String describeThrottling(long retryAfterUs) {
        return retryAfterUs == 0
                ? "throttled"
                : String.format(Locale.ROOT, "throttled, retry after %.3f s", retryAfterUs / 1e6);
    }

    private static String describe(RunFailure failure) {
        return failure == null ? "" : "; " + failure.type() + ": " + failure.message();
    }

    /** Applies the retry policy to a job that no client waits for and whose run has failed. */
    void retryOrEnd(JobEntry entry, RunFailure failure, CommandCallback callback) {
        counters.add(Count.RUNS_FAILED);
        JobRecord record = entry.record();
        RetryPolicy.NextState next =
                RetryPolicy.nextState(
                        record, lifecycle.classOf(entry), failure, lifecycle.nowMs(), random);
        JobRecord failed =
                record.withFailure(next.failure())
                        .withState(next.state(), next.dueMs(), next.message(), lifecycle.nowMs());
        lifecycle.transition(entry, failed, callback);
    }

    /**
     * Ends a failed run of a job that is no longer dispatched, such as one that a worker received
     * before a restart.
     */
    void endOrphanedRun(JobEntry entry, RunFailure failure, CommandCallback callback) {
        counters.add(Count.ANSWERS_FAILED);
        if (!entry.record().hasWaitingClient()) {
            retryOrEnd(entry, failure, callback);
        } else if (isIdempotent(entry)) {
            lifecycle.fail(entry, failure.message(), callback);
        } else {
            String detail = "it may have run before a restart; " + failure.message();
            lifecycle.kill(entry, detail, callback);
        }
    }
}
