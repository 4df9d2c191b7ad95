package damsonslip.pace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Who keeps up and who does not: 2 s of grace, 5 s of patience at the most, 1,000 bytes a second. */
class PaceTest {
    private static final long S = 1_000_000;
    private final Pace pace = new Pace(new Pace.Limits(2 * S, 5 * S, 1_000));

    /** When it is let go, looked at each 10 ms, if so many bytes come each so often; -1 if not within a minute. */
    private double letGo(long bytes, long everyUs) {
        pace.begin(0);
        for (long now = 0; now <= 60 * S; now += S / 100) {
            if (now > 0 && now % everyUs == 0) {
                pace.moved(now, bytes);
            }
            if (pace.tooSlow(now)) {
                return now / 1e6;
            }
        }
        return -1;
    }

    @Test
    void whoSendsNothingGoesAfterItsGrace() {
        assertEquals(2, letGo(0, S), 0.02);
    }

    @Test
    void howLongItMayGoOnIsTold() {
        assertEquals(Long.MAX_VALUE, pace.leftUs(0), "nothing is due");
        pace.begin(0);
        assertEquals(2 * S, pace.leftUs(0));
        assertEquals(S / 2, pace.leftUs(3 * S / 2));
        assertEquals(0, pace.leftUs(3 * S));
    }

    @Test
    void aByteAtATimeDefeatsNothing() {
        assertEquals(2, letGo(1, S / 10), 0.05);
    }

    @Test
    void halfTheLeastRateLastsTwiceTheGrace() {
        assertEquals(4, letGo(50, S / 10), 0.15);
    }

    @Test
    void justTheLeastRateInBurstsStays() {
        assertEquals(-1, letGo(1_500, 3 * S / 2));
        assertEquals(-1, new PaceTest().letGo(100, S / 10));
    }

    @Test
    void aFastPeerMayPauseOnceButNotForEver() {
        pace.begin(0);
        pace.moved(S / 10, 1_000_000);
        assertFalse(pace.tooSlow(5 * S));
        assertTrue(pace.tooSlow(5 * S + S / 10), "what it gathered is bounded");
        pace.moved(5 * S + S / 5, 1_000_000);
        assertTrue(pace.tooSlow(5 * S + S / 5), "and a verdict is not undone");
    }

    @Test
    void aClockThatStepsBackCostsNothing() {
        pace.begin(10 * S);
        pace.moved(9 * S, 0);
        assertFalse(pace.tooSlow(10 * S + S / 2));
        assertTrue(pace.tooSlow(11 * S + S), "nor is the time after it given back twice");
    }

    @Test
    void bytesThatCannotBeSeenMovingHaveTheirWholeTime() {
        pace.begin(0, 30_000);
        assertFalse(pace.tooSlow(31 * S));
        assertTrue(pace.tooSlow(33 * S));
        pace.end();
        assertFalse(pace.tooSlow(99 * S), "nothing is due");
        assertThrows(IllegalArgumentException.class, () -> new Pace.Limits(2, 1, 1));
    }
}
