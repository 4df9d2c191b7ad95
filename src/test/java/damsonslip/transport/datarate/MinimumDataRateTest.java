package damsonslip.transport.datarate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Who keeps up and who does not: 2 s of grace, 5 s of patience at the most, 1,000 bytes a second.
 */
class MinimumDataRateTest {
    private static final long S = 1_000_000;
    private final MinimumDataRate rate =
            new MinimumDataRate(new MinimumDataRate.Limits(2 * S, 5 * S, 1_000));

    /**
     * When it is let go, looked at each 10 ms, if so many bytes come each so often; -1 if not
     * within a minute.
     */
    private double letGo(long bytes, long everyUs) {
        rate.begin(0);
        for (long now = 0; now <= 60 * S; now += S / 100) {
            if (now > 0 && now % everyUs == 0) {
                rate.moved(now, bytes);
            }
            if (rate.isTooSlow(now)) {
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
        assertEquals(Long.MAX_VALUE, rate.leftUs(0), "nothing is due");
        rate.begin(0);
        assertEquals(2 * S, rate.leftUs(0));
        assertEquals(S / 2, rate.leftUs(3 * S / 2));
        assertEquals(0, rate.leftUs(3 * S));
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
        assertEquals(-1, new MinimumDataRateTest().letGo(100, S / 10));
    }

    @Test
    void aFastPeerMayPauseOnceButNotForEver() {
        rate.begin(0);
        rate.moved(S / 10, 1_000_000);
        assertFalse(rate.isTooSlow(5 * S));
        assertTrue(rate.isTooSlow(5 * S + S / 10), "what it gathered is bounded");
        rate.moved(5 * S + S / 5, 1_000_000);
        assertTrue(rate.isTooSlow(5 * S + S / 5), "and a verdict is not undone");
    }

    @Test
    void aClockThatStepsBackCostsNothing() {
        rate.begin(10 * S);
        rate.moved(9 * S, 0);
        assertFalse(rate.isTooSlow(10 * S + S / 2));
        assertTrue(rate.isTooSlow(11 * S + S), "nor is the time after it given back twice");
    }

    @Test
    void bytesThatCannotBeSeenMovingHaveTheirWholeTime() {
        rate.begin(0, 30_000);
        assertFalse(rate.isTooSlow(31 * S));
        assertTrue(rate.isTooSlow(33 * S));
        rate.end();
        assertFalse(rate.isTooSlow(99 * S), "nothing is due");
        assertThrows(IllegalArgumentException.class, () -> new MinimumDataRate.Limits(2, 1, 1));
    }
}
