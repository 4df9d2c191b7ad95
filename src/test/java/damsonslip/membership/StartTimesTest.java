package damsonslip.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Start stamps on the caller's clock, where that is right and where it is not. */
class StartTimesTest {
    private static final long SECOND = 1_000_000;
    private static final long HOUR = 3_600 * SECOND;
    private static final long NOW = 1_000 * HOUR;

    private final StartTimes times = new StartTimes();

    @Test
    void keepsAStampThatFitsWhatWasSeen() {
        times.listed(true, NOW);
        assertEquals(NOW + 3 * SECOND, times.seen(NOW + 3 * SECOND, NOW + 5 * SECOND));
        assertEquals(0, times.correctionUs());
    }

    @Test
    void takesALateListAtItsWord() {
        times.listed(true, NOW);
        assertEquals(NOW - 6 * SECOND, times.seen(NOW - 6 * SECOND, NOW + SECOND));
    }

    @Test
    void countsAStartThatWasSeenAsNowWhereTheStampContradicts() {
        times.listed(true, NOW);
        assertEquals(NOW + SECOND, times.seen(NOW - HOUR, NOW + SECOND), "the own clock is ahead");
        assertEquals(NOW + SECOND, times.seen(NOW + HOUR, NOW + SECOND), "it is behind");
    }

    @Test
    void correctsTheOwnClockOnlyOnceTwoStartsAgree() {
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
    void takesBackACorrectionThatLaterStartsContradict() {
        times.listed(true, NOW);
        times.seen(NOW - HOUR, NOW);
        times.seen(NOW - HOUR, NOW);
        assertEquals(HOUR, times.correctionUs());
        times.seen(NOW, NOW);
        times.seen(NOW, NOW);
        assertEquals(0, times.correctionUs());
    }

    @Test
    void leavesWorkersThatStartedLongAgoAlone() {
        times.listed(true, NOW);
        assertEquals(StartTimes.LONG_AGO, times.seen(StartTimes.LONG_AGO, NOW));
        assertEquals(StartTimes.LONG_AGO, times.told(StartTimes.LONG_AGO, NOW));
    }

    @Test
    void neverGivesAStartThatIsYetToCome() {
        assertFalse(times.seesStarts());
        assertEquals(NOW, times.told(NOW + HOUR, NOW));
    }
}
