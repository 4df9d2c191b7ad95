package damsonslip.engine.invariants;

import static damsonslip.engine.invariants.GuardAssertions.assertViolates;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class CloseGuardTest {
    private static final long MS = 1_000;
    private static final long NOW = 50_000 * MS;

    @Test
    void permitsNoCloseWhileAResponseIsPending() {
        assertViolates(
                Invariant.NO_CLOSE_WITHOUT_ANSWER,
                CloseGuard.checkClientConnection(new CloseGuard.Facts("q", true, false, "idle")));
        assertTrue(
                CloseGuard.checkClientConnection(new CloseGuard.Facts("q", true, true, "left"))
                        .isEmpty());
    }

    @Test
    void permitsResponsesUpToHalfASecondAfterTheDeadline() {
        assertTrue(CloseGuard.checkResponse("q", NOW, NOW - 500 * MS).isEmpty());
        assertViolates(
                Invariant.NO_ANSWER_TOO_LATE, CloseGuard.checkResponse("q", NOW, NOW - 501 * MS));
    }

    @Test
    void permitsNoEndOfAWorkerConnectionWithAnOpenAttempt() {
        assertViolates(
                Invariant.NO_CLOSE_OVER_AN_OPEN_ATTEMPT,
                CloseGuard.checkWorkerConnection("q", "w", true));
        assertTrue(CloseGuard.checkWorkerConnection("q", "w", false).isEmpty());
    }
}
