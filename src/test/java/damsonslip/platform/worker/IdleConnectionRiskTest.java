package damsonslip.platform.worker;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** After which idle times a pooled connection is no longer used. */
class IdleConnectionRiskTest {
    @Test
    void rejectsIdleTimesAtWhichConnectionsBreakAndRetriesThemLater() {
        IdleConnectionRisk risk = new IdleConnectionRisk();
        for (int i = 0; i < 20; i++) {
            risk.record(40_000, false);
            risk.record(300_000, i % 2 == 0);
        }
        assertTrue(risk.isAcceptable(40_000, false), "connections idle for less have not broken");
        assertFalse(risk.isAcceptable(300_000, true));
        assertFalse(risk.isAcceptable(9_000_000, true), "those idle for longer are no better");
        for (int i = 0; i < 300; i++) {
            risk.decay();
        }
        assertTrue(risk.isAcceptable(300_000, false), "old observations have decayed");
    }

    @Test
    void acceptsLessRiskForRequestsThatMustNotRunTwice() {
        IdleConnectionRisk risk = new IdleConnectionRisk();
        risk.record(300_000, true);
        assertTrue(risk.isAcceptable(300_000, true));
        assertFalse(risk.isAcceptable(300_000, false));
    }
}
