package damsonslip.platform.worker;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How old a kept link may be before it is no longer trusted. */
class IdleConnectionRiskTest {
    @Test
    void agesAtWhichLinksBreakAreGivenUpAndTriedAgainLater() {
        IdleConnectionRisk age = new IdleConnectionRisk();
        for (int i = 0; i < 20; i++) {
            age.seen(40_000, false);
            age.seen(300_000, i % 2 == 0);
        }
        assertTrue(age.serves(40_000, true), "younger ones have held");
        assertFalse(age.serves(300_000, false));
        assertFalse(age.serves(9_000_000, false), "older ones are no better");
        for (int i = 0; i < 300; i++) {
            age.fade();
        }
        assertTrue(age.serves(300_000, true), "what was seen long ago counts no more");
    }

    @Test
    void whatMayBeSentOnlyOnceIsMoreCareful() {
        IdleConnectionRisk age = new IdleConnectionRisk();
        age.seen(300_000, true);
        assertTrue(age.serves(300_000, false));
        assertFalse(age.serves(300_000, true));
    }
}
