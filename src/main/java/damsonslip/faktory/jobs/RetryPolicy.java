package damsonslip.faktory.jobs;

import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import damsonslip.store.JobRecord;
import damsonslip.store.JobRecord.Failure;
import damsonslip.store.JobRecord.State;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Decides what follows when a run of a job has failed, and when a job is found in the store at a
 * start. Faktory's retry count decides, subject to the job's class: a job that must not run twice
 * never returns to a queue once a worker may have run it, whoever asks for that.
 *
 * <p>Stateless; times are in milliseconds since the Unix epoch, and randomness comes from the
 * caller.
 */
public final class RetryPolicy {
    /** Back-off of the first retry, in seconds; from Faktory's protocol. */
    private static final int MIN_BACKOFF_S = 15;

    /**
     * Jitter in seconds for each failure so far, from Faktory's protocol: spreads jobs that failed
     * together.
     */
    private static final int JITTER_S = 30;

    /**
     * Failures counted at most: their fourth power is a year. An operator who grants more retries
     * waits no longer.
     */
    private static final int MAX_FAILURES_COUNTED = 75;

    /**
     * A job that was reserved at a start is given up after this time if its worker has not
     * reconnected.
     */
    public static final long ORPHAN_TIMEOUT_MS = 60_000;

    private RetryPolicy() {}

    /**
     * Where a job goes after a failed run.
     *
     * @param state its next state
     * @param dueMs when it is due there; 0 for a final state
     * @param failure its failure record, with the failures before counted
     * @param message what operators and those who track the job are shown
     */
    public record NextState(State state, long dueMs, Failure failure, String message) {}

    /** What a start does with a job from the store. */
    public enum RecoveryAction {
        /** Return it to its set, from which it is taken in turn. */
        RESTORE,
        /** Dispatch it at once, since a client waits for it. */
        DISPATCH,
        /** A worker may have it: await that worker's report, or the end of the reservation. */
        AWAIT_REPORT,
        /** End it: its deadline has passed and it never ran. */
        EXPIRE
    }

    /**
     * How a run failed.
     *
     * @param type the error's type, in the worker's words or one of ours
     * @param message the error's message
     * @param backtrace the worker's stack trace, innermost line first; may be empty
     */
    public record RunFailure(String type, String message, List<String> backtrace) {
        /** The reservation ran out without a report. */
        public static final RunFailure RESERVATION_EXPIRED =
                new RunFailure(
                        "ReservationExpired",
                        "its worker kept it too long without a word",
                        List.of());

        /** The worker disconnected or stopped its heartbeats. */
        public static final RunFailure WORKER_LOST =
                new RunFailure("WorkerGone", "its worker went away with it", List.of());

        /** The job's deadline passed during the run. */
        public static final RunFailure DEADLINE_PASSED =
                new RunFailure("OutOfTime", "its time ran out with its worker", List.of());
    }

    /**
     * The back-off before the next retry, in milliseconds: count^4 + 15 + rand(30)*(count+1)
     * seconds, as in Faktory's protocol.
     *
     * @param count the failures before this one
     */
    public static long backoffMs(int count, SplittableRandom random) {
        long n = Math.min(count, MAX_FAILURES_COUNTED);
        return TimeUnit.SECONDS.toMillis(
                n * n * n * n + MIN_BACKOFF_S + random.nextInt(JITTER_S) * (n + 1));
    }

    /** Whether the job's class allows a run at this time, given what may have run before. */
    public static boolean mayRun(JobRecord record, JobClass jobClass, long atMs) {
        if (record.hasNeverRun() || jobClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        boolean deduplicated =
                jobClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && jobClass.idempotencyScope() == IdempotencyScope.ALL_WORKERS;
        // negative if the wall clock was put back, which leaves the time since then unknown
        long sinceMs = atMs - record.firstRunMs();
        return deduplicated && sinceMs >= 0 && sinceMs < jobClass.idempotencyWindowUs() / 1000;
    }

    /**
     * Decides what follows a failed run: one that its worker reported, whose worker went away, or
     * whose reservation expired.
     *
     * @param runFailure the worker's report, or what was observed instead
     */
    public static NextState nextState(
            JobRecord record,
            JobClass jobClass,
            RunFailure runFailure,
            long nowMs,
            SplittableRandom random) {
        int retryLimit = record.options().retryLimit();
        int count = record.failure() == null ? 0 : record.failure().count() + 1;
        Failure failure = failure(record, count, nowMs, 0, runFailure);
        String message = runFailure.type() + ": " + runFailure.message();
        if (jobClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            return dead(failure, "it may have run and its class must not run twice; " + message);
        }
        if (retryLimit == 0) {
            return new NextState(State.DISCARDED, 0, failure, "failed, with no retry; " + message);
        }
        if (retryLimit < 0) {
            return dead(failure, message);
        }
        if (count >= retryLimit) {
            return dead(failure, "no retries are left; " + message);
        }
        long retryMs = nowMs + backoffMs(count, random);
        if (!mayRun(record, jobClass, retryMs)) {
            String reason = "it may have run, and a retry would come after its key's window; ";
            return dead(failure, reason + message);
        }
        Failure retried = failure(record, count, nowMs, retryMs, runFailure);
        return new NextState(State.RETRY, retryMs, retried, message);
    }

    private static NextState dead(Failure failure, String message) {
        return new NextState(State.DEAD, failure.failedMs(), failure, message);
    }

    private static Failure failure(
            JobRecord record, int count, long nowMs, long nextMs, RunFailure runFailure) {
        List<String> backtrace = runFailure.backtrace();
        int lines = Math.min(backtrace.size(), record.options().backtraceLines());
        return new Failure(
                count,
                nowMs,
                nextMs,
                runFailure.type(),
                runFailure.message(),
                backtrace.subList(0, lines));
    }

    /** Decides what a start does with a stored job, from what it may have done before the stop. */
    public static RecoveryAction recoveryAction(JobRecord record, JobClass jobClass, long nowMs) {
        boolean late = record.hasWaitingClient() && nowMs >= record.options().deadlineMs();
        return switch (record.state()) {
            case QUEUED -> recoveredFromQueue(record, jobClass, nowMs, late);
            case RESERVED ->
                    record.hasWaitingClient()
                                    && !late
                                    && jobClass.idempotency() == Idempotency.IDEMPOTENT
                            ? RecoveryAction.DISPATCH
                            : RecoveryAction.AWAIT_REPORT;
            default -> RecoveryAction.RESTORE;
        };
    }

    private static RecoveryAction recoveredFromQueue(
            JobRecord record, JobClass jobClass, long nowMs, boolean late) {
        if (!record.hasWaitingClient()) {
            return RecoveryAction.RESTORE;
        }
        if (late && record.hasNeverRun()) {
            return RecoveryAction.EXPIRE;
        }
        return mayRun(record, jobClass, nowMs)
                ? RecoveryAction.DISPATCH
                : RecoveryAction.AWAIT_REPORT;
    }

    /**
     * Until when the report of a worker that has reconnected is awaited for a job that it had
     * before the stop.
     */
    public static long reportDeadlineMs(JobRecord record) {
        long reservedUntil = record.updatedMs() + record.options().reservationMs();
        return record.hasWaitingClient()
                ? Math.min(reservedUntil, record.options().deadlineMs())
                : reservedUntil;
    }
}
