package damsonslip.engine.invariants;

import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import java.util.List;
import java.util.Optional;

/** Checks a further attempt, and a refusal, against what became of the attempts before. */
public final class RetryGuard {
    /** Every time limit on sockets is this much longer (PROTOCOL). */
    private static final long SOCKET_SLACK_US = 50_000;

    /** Where a worker belongs. */
    public record WorkerLocation(String worker, int zone, int cell) {}

    /**
     * An attempt of the same request.
     *
     * @param sentUs when it was sent
     * @param isOut whether its end is still awaited
     * @param provenNotRun whether its end proves that it never ran
     */
    public record EarlierAttempt(
            WorkerLocation place, long sentUs, boolean isOut, boolean provenNotRun) {
        private boolean mayHaveRun() {
            return !provenNotRun;
        }
    }

    private RetryGuard() {}

    /** Gives the rule that an attempt there would break now. */
    public static Optional<Violation> check(
            String job,
            JobClass of,
            WorkerLocation place,
            List<EarlierAttempt> before,
            long nowUs) {
        if (before.stream().anyMatch(EarlierAttempt::isOut)) {
            return violation(Invariant.NO_SECOND_COPY, job, place, "one is out");
        }
        Optional<EarlierAttempt> first =
                before.stream().filter(EarlierAttempt::mayHaveRun).findFirst();
        if (first.isEmpty() || of.idempotency() == Idempotency.IDEMPOTENT) {
            return Optional.empty();
        }
        if (of.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            return violation(
                    Invariant.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN,
                    job,
                    place,
                    "it may have run at " + first.get().place());
        }
        boolean late = nowUs > first.get().sentUs() + of.idempotencyWindowUs() + SOCKET_SLACK_US;
        if (late || !isInGroup(of.idempotencyScope(), first.get().place(), place)) {
            return violation(
                    Invariant.NO_KEYED_REPEAT_OUTSIDE_GROUP_OR_WINDOW,
                    job,
                    place,
                    (nowUs - first.get().sentUs()) + " us after " + first.get().place());
        }
        return Optional.empty();
    }

    /**
     * Gives the rule that a refusal would break: it promises that the request had no effect, or
     * that a repeat has none.
     */
    public static Optional<Violation> checkRejection(
            String job, JobClass of, List<EarlierAttempt> before) {
        boolean harmless =
                of.idempotency() == Idempotency.IDEMPOTENT
                        || of.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                && of.idempotencyScope() == IdempotencyScope.ALL_WORKERS;
        Optional<EarlierAttempt> run =
                before.stream().filter(EarlierAttempt::mayHaveRun).findFirst();
        return harmless || run.isEmpty()
                ? Optional.empty()
                : violation(
                        Invariant.NO_REFUSAL_AFTER_A_RUN,
                        job,
                        run.get().place(),
                        "it may have run there");
    }

    private static boolean isInGroup(
            IdempotencyScope group, WorkerLocation one, WorkerLocation other) {
        return switch (group) {
            case ALL_WORKERS -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL -> one.cell() == other.cell();
        };
    }

    private static Optional<Violation> violation(
            Invariant invariant, String job, WorkerLocation place, String detail) {
        return Optional.of(new Violation(invariant, job, place.worker(), detail));
    }
}
