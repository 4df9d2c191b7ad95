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
 * Decides what follows a failed run of a job, and what happens at startup to a job found in the
 * store. Faktory's retry limit applies, subject to the job's class: a job that must not run twice
 * never returns to a queue once a worker may have run it, whoever requests it.
 *
 * <p>Stateless. Times are in milliseconds since the Unix epoch; the caller provides the source of
 * randomness.
 */
public final class RetryPolicy {
    /** The constant part of the backoff, in seconds; from Faktory's protocol. */
    private static final int MIN_BACKOFF_S = 15;

    /**
     * Exclusive upper bound of the jitter, in seconds per failure; from Faktory's protocol. Jitter
     * spreads the retries of jobs that failed together.
     */
    private static final int JITTER_S = 30;

    /**
     * Upper limit of the failure count in the backoff formula: 75^4 seconds is about a year.
     * Retries beyond this number do not back off any longer.
     */
    private static final int MAX_BACKOFF_COUNT = 75;

    /**
     * How long after startup the worker of a job that was reserved before it may take to reconnect.
     * After this time the run counts as lost.
     */
    public static final long ORPHAN_TIMEOUT_MS = 60_000;

    private RetryPolicy() {}

    /**
     * The state of a job after a failed run.
     *
     * @param state its next state
     * @param dueMs the time by which that state's set is ordered; 0 for a final state
     * @param failure its new failure record, whose count includes the failures before
     * @param message the description shown to operators and in replies to TRACK
     */
    public record NextState(State state, long dueMs, Failure failure, String message) {}

    /** What recovery does at startup with a job from the store. */
    public enum RecoveryAction {
        /** Restore it to its set, where it waits as before. */
        RESTORE,
        /** Queue it to run again, since a client still waits for it. */
        DISPATCH,
        /** A worker may be running it: await that worker's report or the end of the reservation. */
        AWAIT_REPORT,
        /** Fail it: its deadline has passed and it never ran. */
        EXPIRE
    }

    /**
     * How a run failed.
     *
     * @param type the error's type, as reported by the worker or set by this scheduler
     * @param message the error's message
     * @param backtrace the worker's stack trace, innermost line first; may be empty
     */
    public record RunFailure(String type, String message, List<String> backtrace) {
        /** The reservation expired without a report from the worker. */
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
     * The backoff before the next retry, in milliseconds: count^4 + 15 + rand(30) * (count + 1)
     * seconds, as in Faktory's protocol.
     *
     * @param count the number of failures before this one
     */
    public static long backoffMs(int count, SplittableRandom random) {
        long n = Math.min(count, MAX_BACKOFF_COUNT);
        return TimeUnit.SECONDS.toMillis(
                n * n * n * n + MIN_BACKOFF_S + random.nextInt(JITTER_S) * (n + 1));
    }

    /**
     * Whether the job's class allows a run at this time. A job that may have run before may run
     * again if its class is idempotent, or if all workers recognise its idempotency key and the
     * window since its first run is still open.
     */
    public static boolean mayRun(JobRecord record, JobClass jobClass, long atMs) {
        if (record.hasNeverRun() || jobClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        boolean deduplicated =
                jobClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && jobClass.idempotencyScope() == IdempotencyScope.ALL_WORKERS;
        // negative if the wall clock was set back, so that the elapsed time is unknown
        long sinceMs = atMs - record.firstRunMs();
        return deduplicated && sinceMs >= 0 && sinceMs < jobClass.idempotencyWindowUs() / 1000;
    }

    /**
     * Decides what follows a failed run: a failure reported by the worker, the loss of the worker,
     * an expired reservation, or a deadline that passed during the run.
     *
     * @param runFailure the failure as reported by the worker or detected by this scheduler
     */
    public static NextState nextState(
            JobRecord record,
            JobClass jobClass,
            RunFailure runFailure,
            long nowMs,
            SplittableRandom random) {
        int retryLimit = record.options().retryLimit();
        int count = record.failure() == null ? 0 : record.failure().count() + 1;
        Failure failure = newFailure(record, count, nowMs, 0, runFailure);
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
        Failure retried = newFailure(record, count, nowMs, retryMs, runFailure);
        return new NextState(State.RETRY, retryMs, retried, message);
    }

    private static NextState dead(Failure failure, String message) {
        return new NextState(State.DEAD, failure.failedMs(), failure, message);
    }

    private static Failure newFailure(
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

    /** Decides what to do at startup with a stored job, which may have run before the stop. */
    public static RecoveryAction recoveryAction(JobRecord record, JobClass jobClass, long nowMs) {
        boolean deadlinePassed =
                record.hasWaitingClient() && nowMs >= record.options().deadlineMs();
        return switch (record.state()) {
            case QUEUED -> recoverQueued(record, jobClass, nowMs, deadlinePassed);
            case RESERVED ->
                    record.hasWaitingClient()
                                    && !deadlinePassed
                                    && jobClass.idempotency() == Idempotency.IDEMPOTENT
                            ? RecoveryAction.DISPATCH
                            : RecoveryAction.AWAIT_REPORT;
            default -> RecoveryAction.RESTORE;
        };
    }

    private static RecoveryAction recoverQueued(
            JobRecord record, JobClass jobClass, long nowMs, boolean deadlinePassed) {
        if (!record.hasWaitingClient()) {
            return RecoveryAction.RESTORE;
        }
        if (deadlinePassed && record.hasNeverRun()) {
            return RecoveryAction.EXPIRE;
        }
        return mayRun(record, jobClass, nowMs)
                ? RecoveryAction.DISPATCH
                : RecoveryAction.AWAIT_REPORT;
    }

    /**
     * The time until which the report on a job that was reserved before the stop is awaited, if its
     * worker has reconnected.
     */
    public static long reportDeadlineMs(JobRecord record) {
        long reservedUntil = record.updatedMs() + record.options().reservationMs();
        return record.hasWaitingClient()
                ? Math.min(reservedUntil, record.options().deadlineMs())
                : reservedUntil;
    }
}
