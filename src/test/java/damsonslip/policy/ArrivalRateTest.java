package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Measures arrival rates over intervals. */
class ArrivalRateTest {
    private final MeasurementInterval interval = new MeasurementInterval();
    private final ArrivalRate rate = new ArrivalRate();

    private void measure(int arrivals, long nowUs) {
        for (int i = 0; i < arrivals; i++) {
            rate.countArrival();
        }
        interval.end(nowUs);
        rate.measure(interval, 3);
    }

    @Test
    void usesTheFirstIntervalInFull() {
        interval.start(0);
        measure(20, 2 * SECOND);
        assertEquals(10, rate.ownPerSecond(), 1e-9);
        assertEquals(30, rate.perSecond(), 1e-9);
    }

    @Test
    void followsAChangeSlowlyWhereTheRateHasToBeSteady() {
        interval.start(0);
        for (int second = 1; second <= 60; second++) {
            measure(10, second * SECOND);
        }
        for (int second = 61; second <= 70; second++) {
            measure(20, second * SECOND);
        }
        double change = rate.perSecond() / 3 - 10;
        double steadyChange = rate.ownPerSecond() - 10;
        assertTrue(change > 6 && change < 8, "changed by " + change);
        assertTrue(steadyChange > 1 && steadyChange < 3, "changed by " + steadyChange);
    }
}
