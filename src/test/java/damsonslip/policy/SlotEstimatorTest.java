package damsonslip.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Estimates the slots of workers from reported free slots. */
class SlotEstimatorTest {
    private final SlotEstimator estimator = new SlotEstimator();

    private void observe(int reports, double freeSlots) {
        for (int i = 0; i < reports; i++) {
            estimator.observe(freeSlots);
        }
    }

    @Test
    void assumesTheDefaultBeforeReports() {
        assertEquals(SlotEstimator.DEFAULT_SLOTS, estimator.slots());
        assertEquals(1, estimator.provenSlots());
    }

    @Test
    void usesTheLargestNumberThatTwoReportsReach() {
        observe(2, 8);
        assertEquals(8, estimator.slots());
        assertEquals(8, estimator.provenSlots());
    }

    @Test
    void ignoresASingleReport() {
        observe(1, 8);
        assertEquals(SlotEstimator.DEFAULT_SLOTS, estimator.slots());
        assertEquals(1, estimator.provenSlots());
    }

    @Test
    void dropsTheDefaultAfterManyReports() {
        observe(60, 2);
        assertEquals(2, estimator.slots());
    }
}
