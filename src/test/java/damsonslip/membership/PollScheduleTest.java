package damsonslip.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The backoff between polls and their alignment to time slots. */
class PollScheduleTest {
    private static final long SECOND = 1_000_000;

    private final PollSchedule schedule = new PollSchedule(6 * SECOND, 10 * SECOND);

    @Test
    void doublesBackoffUpToLimitAndResetsIt() {
        schedule.setFleet(1, 0);
        long[] minDelaysUs = {200_000, 400_000, 800_000, 800_000};
        for (long minDelayUs : minDelaysUs) {
            long delayUs = schedule.afterFailedPollUs(0, 10 * SECOND, 0) - 10 * SECOND;
            assertTrue(delayUs >= minDelayUs && delayUs < minDelayUs + SECOND / 4, "" + delayUs);
        }
        schedule.reset();
        long delayUs = schedule.afterFailedPollUs(0, 10 * SECOND, 0) - 10 * SECOND;
        assertTrue(delayUs < 200_000 + SECOND / 4, "" + delayUs);
    }

    @Test
    void keepsSlotFromCycleToCycle() {
        schedule.setFleet(100, 42);
        long first = schedule.afterResetUs(20 * SECOND, 0.5);
        assertEquals(first + 4_500_000, schedule.afterFailedPollUs(first, first + SECOND, 0.99));
    }

    @Test
    void usesNoSlotAfterSilenceOrUnsentPoll() {
        schedule.setFleet(100, 42);
        assertEquals(20 * SECOND + 100_000, schedule.afterSilenceUs(20 * SECOND, 0.5));
        assertEquals(20 * SECOND + 200_000, schedule.afterUnsentPollUs(20 * SECOND, 0.5));
    }

    @Test
    void spreadsFirstPollsOfLargeFleetWider() {
        schedule.setFleet(2, 0);
        assertEquals(25_000, schedule.firstPollUs(0, 0.5));
        schedule.setFleet(100, 0);
        assertEquals(200_000, schedule.firstPollUs(0, 0.5));
    }
}
