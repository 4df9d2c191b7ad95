package damsonslip.engine.invariants;

import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import java.util.List;
import java.util.Optional;

/** Checks a further attempt, and a refusal, against what became of the attempts before. */
public final class RepeatGuard {
    /** Every time limit on sockets is this much longer (PROTOCOL). */
    private static final long SOCKET_SLACK_US = 50_000;

    /** Where a worker belongs. */
    public record Place(String worker, int zone, int cell) {}

    /**
     * An attempt of the same request.
     *
     * @param sentUs when it was sent
     * @param isOut whether its end is still awaited
     * @param provenNotRun whether its end proves that it never ran
     */
    public record Earlier(Place place, long sentUs, boolean isOut, boolean provenNotRun) {
        private boolean mayHaveRun() {
            return !provenNotRun;
        }
    }

    private RepeatGuard() {}

    /** Gives the rule that an attempt there would break now. */
    public static Optional<Violation> check(
            String job, JobClass of, Place place, List<Earlier> before, long nowUs) {
        if (before.stream().anyMatch(Earlier::isOut)) {
            return violation(Invariant.NO_SECOND_COPY, job, place, "one is out");
        }
        Optional<Earlier> first = before.stream().filter(Earlier::mayHaveRun).findFirst();
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
    public static Optional<Violation> checkRefusal(String job, JobClass of, List<Earlier> before) {
        boolean harmless =
                of.idempotency() == Idempotency.IDEMPOTENT
                        || of.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                                && of.idempotencyScope() == IdempotencyScope.ALL_WORKERS;
        Optional<Earlier> run = before.stream().filter(Earlier::mayHaveRun).findFirst();
        return harmless || run.isEmpty()
                ? Optional.empty()
                : violation(
                        Invariant.NO_REFUSAL_AFTER_A_RUN,
                        job,
                        run.get().place(),
                        "it may have run there");
    }

    private static boolean isInGroup(IdempotencyScope group, Place one, Place other) {
        return switch (group) {
            case ALL_WORKERS -> true;
            case ZONE -> one.zone() == other.zone();
            case CELL -> one.cell() == other.cell();
        };
    }

    private static Optional<Violation> violation(
            Invariant invariant, String job, Place place, String detail) {
        return Optional.of(new Violation(invariant, job, place.worker(), detail));
    }
}
