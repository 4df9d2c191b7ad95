package damsonslip.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Start timestamps converted to the caller's clock, whether or not that clock is right. */
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
                "the caller's clock is ahead");
        assertEquals(
                NOW + SECOND,
                times.observedStartUs(NOW + HOUR, NOW + SECOND),
                "the caller's clock is behind");
    }

    @Test
    void correctsClockOnceTwoStartsAgree() {
        times.listReceived(true, NOW);
        times.observedStartUs(NOW - HOUR, NOW + SECOND);
        assertEquals(
                NOW - 2 * HOUR,
                times.listedStartUs(NOW - 2 * HOUR, NOW + SECOND),
                "a single one may be an error of that worker's clock");
        times.observedStartUs(NOW + SECOND - HOUR, NOW + 2 * SECOND);
        long listed = times.listedStartUs(NOW - 5 * SECOND - HOUR, NOW + 2 * SECOND);
        assertTrue(
                Math.abs(listed - (NOW - 4 * SECOND)) <= SECOND,
                "corrects starts that were not observed");
        long fits = times.observedStartUs(NOW + 2 * SECOND - HOUR, NOW + 4 * SECOND);
        assertTrue(
                Math.abs(fits - (NOW + 2 * SECOND)) <= 2 * SECOND,
                "corrects later observed starts");
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
