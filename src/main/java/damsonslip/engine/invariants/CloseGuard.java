package damsonslip.engine.invariants;

import java.util.Optional;

/** Checks the end of a client's or a worker's connection, and the time of a final answer. */
public final class CloseGuard {
    /**
     * So long after its time an answer only earns nothing; later the request is lost (STANDING).
     */
    private static final long LATE_US = 500_000;

    /**
     * How a connection ends.
     *
     * @param job the request on it; empty if there is none
     * @param answerOwed whether that was read whole and has no answer
     * @param byPeer whether the client has ended it
     * @param reason why the program ends it, for the log
     */
    public record Facts(String job, boolean answerOwed, boolean byPeer, String reason) {}

    private CloseGuard() {}

    /** Gives the rule that this end breaks. */
    public static Optional<Violation> check(Facts facts) {
        return facts.answerOwed() && !facts.byPeer()
                ? Optional.of(
                        new Violation(
                                Invariant.NO_CLOSE_WITHOUT_ANSWER, facts.job(), "", facts.reason()))
                : Optional.empty();
    }

    /**
     * Gives the rule that the end of a worker's connection breaks; asked once all that it leads to
     * is done.
     *
     * @param attemptOpen whether the attempt that it carried still waits for its end
     */
    public static Optional<Violation> checkWorkerConnection(
            String job, String worker, boolean attemptOpen) {
        return attemptOpen
                ? Optional.of(
                        new Violation(
                                Invariant.NO_CLOSE_OVER_AN_OPEN_ATTEMPT,
                                job,
                                worker,
                                "its end was not told"))
                : Optional.empty();
    }

    /** Gives the rule that a final answer at this time breaks. */
    public static Optional<Violation> checkAnswer(String job, long nowUs, long deadlineUs) {
        return nowUs > deadlineUs + LATE_US
                ? Optional.of(
                        new Violation(
                                Invariant.NO_ANSWER_TOO_LATE,
                                job,
                                "",
                                (nowUs - deadlineUs) + " us late"))
                : Optional.empty();
    }
}
