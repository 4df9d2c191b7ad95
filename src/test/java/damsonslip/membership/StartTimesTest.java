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
    void keepsPlausibleTimestampOfObservedStart() {
        times.listReceived(true, NOW);
        assertEquals(NOW + 3 * SECOND, times.observedStartUs(NOW + 3 * SECOND, NOW + 5 * SECOND));
        assertEquals(0, times.correctionUs());
    }

    @Test
    void keepsTimestampOnDelayedList() {
        times.listReceived(true, NOW);
        assertEquals(NOW - 6 * SECOND, times.observedStartUs(NOW - 6 * SECOND, NOW + SECOND));
    }

    @Test
    void countsObservedStartAsNowWhenTimestampContradicts() {
        times.listReceived(true, NOW);
        assertEquals(
                NOW + SECOND,
                times.observedStartUs(NOW - HOUR, NOW + SECOND),
                "this clock is ahead");
        assertEquals(
                NOW + SECOND,
                times.observedStartUs(NOW + HOUR, NOW + SECOND),
                "this clock is behind");
    }

    @Test
    void correctsClockOnceTwoStartsAgree() {
        times.listReceived(true, NOW);
        times.observedStartUs(NOW - HOUR, NOW + SECOND);
        assertEquals(
                NOW - 2 * HOUR,
                times.listedStartUs(NOW - 2 * HOUR, NOW + SECOND),
                "one may be that worker's own clock");
        times.observedStartUs(NOW + SECOND - HOUR, NOW + 2 * SECOND);
        long listed = times.listedStartUs(NOW - 5 * SECOND - HOUR, NOW + 2 * SECOND);
        assertTrue(Math.abs(listed - (NOW - 4 * SECOND)) <= SECOND, "a cold one on the list");
        long fits = times.observedStartUs(NOW + 2 * SECOND - HOUR, NOW + 4 * SECOND);
        assertTrue(Math.abs(fits - (NOW + 2 * SECOND)) <= 2 * SECOND, "later ones fit");
    }

    @Test
    void revertsCorrectionThatLaterStartsContradict() {
        times.listReceived(true, NOW);
        times.observedStartUs(NOW - HOUR, NOW);
        times.observedStartUs(NOW - HOUR, NOW);
        assertEquals(HOUR, times.correctionUs());
        times.observedStartUs(NOW, NOW);
        times.observedStartUs(NOW, NOW);
        assertEquals(0, times.correctionUs());
    }

    @Test
    void keepsStartLongAgo() {
        times.listReceived(true, NOW);
        assertEquals(StartTimes.LONG_AGO, times.observedStartUs(StartTimes.LONG_AGO, NOW));
        assertEquals(StartTimes.LONG_AGO, times.listedStartUs(StartTimes.LONG_AGO, NOW));
    }

    @Test
    void neverReturnsStartInFuture() {
        assertFalse(times.observesStarts());
        assertEquals(NOW, times.listedStartUs(NOW + HOUR, NOW));
    }
}
