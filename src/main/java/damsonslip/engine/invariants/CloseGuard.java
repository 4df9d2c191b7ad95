package damsonslip.engine.invariants;

import java.util.Optional;

/** Checks the end of a client's or a worker's connection, and the time of a final response. */
public final class CloseGuard {
    /** A response later than this after the deadline counts as lost (STANDING). */
    private static final long MAX_LATENESS_US = 500_000;

    /**
     * How a client's connection ends.
     *
     * @param job the id of the request on it; empty if there is none
     * @param responsePending whether that request was read completely and has no response
     * @param byPeer whether the client has closed the connection
     * @param reason why the program closes it, for the log
     */
    public record Facts(String job, boolean responsePending, boolean byPeer, String reason) {}

    private CloseGuard() {}

    /** Returns the invariant that this end of a client's connection violates. */
    public static Optional<Violation> checkClientConnection(Facts facts) {
        if (!facts.responsePending() || facts.byPeer()) {
            return Optional.empty();
        }
        return Optional.of(
                new Violation(Invariant.NO_CLOSE_WITHOUT_ANSWER, facts.job(), "", facts.reason()));
    }

    /**
     * Returns the invariant that the end of a worker's connection violates. Called after everything
     * that follows from that end is done.
     *
     * @param attemptOpen whether the attempt on the connection is still open
     */
    public static Optional<Violation> checkWorkerConnection(
            String job, String worker, boolean attemptOpen) {
        if (!attemptOpen) {
            return Optional.empty();
        }
        return Optional.of(
                new Violation(
                        Invariant.NO_CLOSE_OVER_AN_OPEN_ATTEMPT,
                        job,
                        worker,
                        "the end of the attempt was not reported"));
    }

    /** Returns the invariant that a final response at this time violates. */
    public static Optional<Violation> checkResponse(String job, long nowUs, long deadlineUs) {
        long latenessUs = nowUs - deadlineUs;
        if (latenessUs <= MAX_LATENESS_US) {
            return Optional.empty();
        }
        return Optional.of(
                new Violation(Invariant.NO_ANSWER_TOO_LATE, job, "", latenessUs + " us late"));
    }
}
