package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Estimates the share of free slots of a group of workers. */
class FreeShareEstimateTest {
    private final FreeShareEstimate estimate = new FreeShareEstimate();

    @Test
    void returnsTheExpectedShareWithoutReports() {
        assertEquals(0.7, estimate.share(0.7, SECOND), 1e-9);
    }

    @Test
    void weighsTheExpectedShareAsTwoReports() {
        estimate.observe(0, SECOND);
        estimate.observe(0, SECOND);
        assertEquals(0.5, estimate.share(1, SECOND), 1e-9);
    }

    @Test
    void forgetsOldReports() {
        estimate.observe(0, SECOND);
        assertEquals(1, estimate.share(1, 200 * SECOND), 1e-6);
    }
}
