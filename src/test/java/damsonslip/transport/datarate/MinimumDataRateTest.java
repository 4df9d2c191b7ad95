package damsonslip.transport.datarate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Fast and slow peers; grace period 2 s, window 5 s, minimum rate 1,000 bytes per second. */
class MinimumDataRateTest {
    private static final long S = 1_000_000;
    private final MinimumDataRate rate =
            new MinimumDataRate(new MinimumDataRate.Limits(2 * S, 5 * S, 1_000));

    /**
     * Returns the time, in seconds, at which a peer that transfers these bytes at this interval
     * counts as too slow; -1 if it does not within a minute.
     */
    private double tooSlowAfterS(long bytes, long intervalUs) {
        rate.begin(0);
        for (long now = 0; now <= 60 * S; now += S / 100) {
            if (now > 0 && now % intervalUs == 0) {
                rate.transferred(now, bytes);
            }
            if (rate.isTooSlow(now)) {
                return now / 1e6;
            }
        }
        return -1;
    }

    @Test
    void allowsGracePeriodWithoutAnyByte() {
        assertEquals(2, tooSlowAfterS(0, S), 0.02);
    }

    @Test
    void reportsRemainingTime() {
        assertEquals(Long.MAX_VALUE, rate.remainingUs(0), "no transfer is in progress");
        rate.begin(0);
        assertEquals(2 * S, rate.remainingUs(0));
        assertEquals(S / 2, rate.remainingUs(3 * S / 2));
        assertEquals(0, rate.remainingUs(3 * S));
    }

    @Test
    void detectsPeerThatTransfersSingleBytes() {
        assertEquals(2, tooSlowAfterS(1, S / 10), 0.05);
    }

    @Test
    void allowsTwiceTheGraceAtHalfTheRate() {
        assertEquals(4, tooSlowAfterS(50, S / 10), 0.15);
    }

    @Test
    void acceptsBurstsAtMinimumRate() {
        assertEquals(-1, tooSlowAfterS(1_500, 3 * S / 2));
        assertEquals(-1, new MinimumDataRateTest().tooSlowAfterS(100, S / 10));
    }

    @Test
    void limitsPauseOfPeerThatWasFast() {
        rate.begin(0);
        rate.transferred(S / 10, 1_000_000);
        assertFalse(rate.isTooSlow(5 * S));
        assertTrue(rate.isTooSlow(5 * S + S / 10), "the bucket's capacity must be bounded");
        rate.transferred(5 * S + S / 5, 1_000_000);
        assertTrue(rate.isTooSlow(5 * S + S / 5), "an empty bucket must not be refilled");
    }

    @Test
    void toleratesClockThatStepsBack() {
        rate.begin(10 * S);
        rate.transferred(9 * S, 0);
        assertFalse(rate.isTooSlow(10 * S + S / 2));
        assertTrue(rate.isTooSlow(11 * S + S), "the time after the step must count");
    }

    @Test
    void creditsWholeUnobservedTransferInAdvance() {
        rate.begin(0, 30_000);
        assertFalse(rate.isTooSlow(31 * S));
        assertTrue(rate.isTooSlow(33 * S));
        rate.end();
        assertFalse(rate.isTooSlow(99 * S), "no transfer is in progress");
        assertThrows(IllegalArgumentException.class, () -> new MinimumDataRate.Limits(2, 1, 1));
    }
}
