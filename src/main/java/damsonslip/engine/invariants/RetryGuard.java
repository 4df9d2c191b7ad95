package damsonslip.engine.invariants;

import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import java.util.List;
import java.util.Optional;

/** Checks a retry, and a rejection, against the outcome of the earlier attempts. */
public final class RetryGuard {
    /** Added to every time limit on sockets (PROTOCOL). */
    private static final long SOCKET_SLACK_US = 50_000;

    /** A worker, with its zone and its cell. */
    public record WorkerLocation(String worker, int zone, int cell) {}

    /**
     * An earlier attempt of the same request.
     *
     * @param location where it was sent
     * @param sentUs when it was sent
     * @param isOpen whether its end is still awaited
     * @param provenNotRun whether its end proves that it was never executed
     */
    public record EarlierAttempt(
            WorkerLocation location, long sentUs, boolean isOpen, boolean provenNotRun) {
        private boolean mayHaveRun() {
            return !provenNotRun;
        }
    }

    private RetryGuard() {}

    /** Returns the invariant that an attempt at this worker would violate now. */
    public static Optional<Violation> check(
            String job,
            JobClass jobClass,
            WorkerLocation location,
            List<EarlierAttempt> earlier,
            long nowUs) {
        if (earlier.stream().anyMatch(EarlierAttempt::isOpen)) {
            return violation(Invariant.NO_SECOND_COPY, job, location, "an attempt is open");
        }
        Optional<EarlierAttempt> firstRun = firstPossibleRun(earlier);
        if (firstRun.isEmpty()) {
            return Optional.empty();
        }
        return switch (jobClass.idempotency()) {
            case IDEMPOTENT -> Optional.empty();
            case NOT_IDEMPOTENT ->
                    violation(
                            Invariant.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN,
                            job,
                            location,
                            "it may have run at " + firstRun.get().location());
            case IDEMPOTENT_WITH_KEY ->
                    checkRetryWithKey(job, jobClass, location, firstRun.get(), nowUs);
        };
    }

    private static Optional<Violation> checkRetryWithKey(
            String job,
            JobClass jobClass,
            WorkerLocation location,
            EarlierAttempt firstRun,
            long nowUs) {
        long windowEndUs = firstRun.sentUs() + jobClass.idempotencyWindowUs() + SOCKET_SLACK_US;
        if (nowUs <= windowEndUs
                && shareKeys(jobClass.idempotencyScope(), firstRun.location(), location)) {
            return Optional.empty();
        }
        return violation(
                Invariant.NO_KEYED_REPEAT_OUTSIDE_GROUP_OR_WINDOW,
                job,
                location,
                (nowUs - firstRun.sentUs()) + " us after " + firstRun.location());
    }

    /**
     * Returns the invariant that a rejection would violate: it promises that the request had no
     * effect, or that a repetition has none.
     */
    public static Optional<Violation> checkRejection(
            String job, JobClass jobClass, List<EarlierAttempt> earlier) {
        if (isIdempotentEverywhere(jobClass)) {
            return Optional.empty();
        }
        Optional<EarlierAttempt> firstRun = firstPossibleRun(earlier);
        if (firstRun.isEmpty()) {
            return Optional.empty();
        }
        return violation(
                Invariant.NO_REFUSAL_AFTER_A_RUN,
                job,
                firstRun.get().location(),
                "it may have run there");
    }

    private static boolean isIdempotentEverywhere(JobClass jobClass) {
        return switch (jobClass.idempotency()) {
            case IDEMPOTENT -> true;
            case NOT_IDEMPOTENT -> false;
            case IDEMPOTENT_WITH_KEY -> jobClass.idempotencyScope() == IdempotencyScope.ALL_WORKERS;
        };
    }

    private static Optional<EarlierAttempt> firstPossibleRun(List<EarlierAttempt> earlier) {
        return earlier.stream().filter(EarlierAttempt::mayHaveRun).findFirst();
    }

    /** Whether the other worker recognizes idempotency keys that this one has seen. */
    private static boolean shareKeys(
            IdempotencyScope scope, WorkerLocation one, WorkerLocation other) {
        return switch (scope) {
            case ALL_WORKERS -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL -> one.cell() == other.cell();
        };
    }

    private static Optional<Violation> violation(
            Invariant invariant, String job, WorkerLocation location, String detail) {
        return Optional.of(new Violation(invariant, job, location.worker(), detail));
    }
}
