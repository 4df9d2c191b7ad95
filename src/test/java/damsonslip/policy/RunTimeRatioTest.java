package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Averages the ratio of the run times at one worker to the usual ones. */
class RunTimeRatioTest {
    private final RunTimeRatio ratio = new RunTimeRatio();

    @Test
    void startsAtOne() {
        assertEquals(1, ratio.at(SECOND));
    }

    @Test
    void averagesTheFirstJobWithOne() {
        ratio.observe(4, SECOND);
        assertEquals(2.5, ratio.at(SECOND));
    }

    @Test
    void limitsTheWeightOfASingleJob() {
        ratio.observe(1_000, SECOND);
        assertEquals(3.5, ratio.at(SECOND));
    }

    @Test
    void returnsToOneWithoutJobs() {
        ratio.observe(4, SECOND);
        assertTrue(ratio.at(60 * SECOND) < 1.01);
    }

    @Test
    void returnsToOneAfterAReset() {
        ratio.observe(4, SECOND);
        ratio.reset();
        assertEquals(1, ratio.at(SECOND));
    }
}
