package damsonslip.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Start stamps translated to the caller's clock, whether that is right or wrong. */
class StartTimesTest {
    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3_600 * SECOND;
    private static final long NOW = 1_000 * HOUR;

    private final StartTimes times = new StartTimes();

    @Test
    void keepsPlausibleStampOfObservedStart() {
        times.listed(true, NOW);
        assertEquals(NOW + 3 * SECOND, times.seen(NOW + 3 * SECOND, NOW + 5 * SECOND));
        assertEquals(0, times.correctionUs());
    }

    @Test
    void keepsStampOnLateList() {
        times.listed(true, NOW);
        assertEquals(NOW - 6 * SECOND, times.seen(NOW - 6 * SECOND, NOW + SECOND));
    }

    @Test
    void countsObservedStartAsNowWhenStampContradicts() {
        times.listed(true, NOW);
        assertEquals(NOW + SECOND, times.seen(NOW - HOUR, NOW + SECOND), "this clock is ahead");
        assertEquals(NOW + SECOND, times.seen(NOW + HOUR, NOW + SECOND), "this clock is behind");
    }

    @Test
    void correctsClockOnceTwoStartsAgree() {
        times.listed(true, NOW);
        times.seen(NOW - HOUR, NOW + SECOND);
        assertEquals(
                NOW - 2 * HOUR,
                times.told(NOW - 2 * HOUR, NOW + SECOND),
                "one may be that worker's own clock");
        times.seen(NOW + SECOND - HOUR, NOW + 2 * SECOND);
        long listed = times.told(NOW - 5 * SECOND - HOUR, NOW + 2 * SECOND);
        assertTrue(Math.abs(listed - (NOW - 4 * SECOND)) <= SECOND, "a cold one on the list");
        long fits = times.seen(NOW + 2 * SECOND - HOUR, NOW + 4 * SECOND);
        assertTrue(Math.abs(fits - (NOW + 2 * SECOND)) <= 2 * SECOND, "later ones fit");
    }

    @Test
    void revertsCorrectionThatLaterStartsContradict() {
        times.listed(true, NOW);
        times.seen(NOW - HOUR, NOW);
        times.seen(NOW - HOUR, NOW);
        assertEquals(HOUR, times.correctionUs());
        times.seen(NOW, NOW);
        times.seen(NOW, NOW);
        assertEquals(0, times.correctionUs());
    }

    @Test
    void keepsStartOfLongAgo() {
        times.listed(true, NOW);
        assertEquals(StartTimes.LONG_AGO, times.seen(StartTimes.LONG_AGO, NOW));
        assertEquals(StartTimes.LONG_AGO, times.told(StartTimes.LONG_AGO, NOW));
    }

    @Test
    void neverReturnsStartInFuture() {
        assertFalse(times.seesStarts());
        assertEquals(NOW, times.told(NOW + HOUR, NOW));
    }
}
