package damsonslip.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Estimates the run times of a job class and compares workers by them. */
class RunTimeEstimatorTest {
    private final RunTimeEstimator estimator = new RunTimeEstimator(200_000);

    private double observe(Worker worker, int jobs, double runTimeUs) {
        double ratio = 0;
        for (int i = 0; i < jobs; i++) {
            ratio = estimator.observe(worker, runTimeUs);
        }
        return ratio;
    }

    @Test
    void returnsTheInitialEstimateBeforeTheFirstJob() {
        assertEquals(200_000, estimator.meanUs());
        assertEquals(200_000, estimator.medianUs());
    }

    @Test
    void averagesTheRunTimes() {
        Worker worker = new Worker("a");
        observe(worker, 1, 100_000);
        observe(worker, 1, 300_000);
        assertEquals(200_000, estimator.meanUs(), 1);
    }

    @Test
    void comparesWithTheFastWorkers() {
        observe(new Worker("a"), 5, 100_000);
        observe(new Worker("b"), 5, 100_000);
        observe(new Worker("c"), 5, 100_000);
        assertEquals(4, observe(new Worker("d"), 5, 400_000), 0.01);
    }

    @Test
    void doesNotCompareVeryShortRunTimes() {
        observe(new Worker("a"), 10, 200);
        assertEquals(1, observe(new Worker("b"), 1, 4_000));
    }

    @Test
    void keepsTheMedianBelowALongTail() {
        Worker worker = new Worker("a");
        for (int i = 0; i < 400; i++) {
            observe(worker, 1, i % 10 == 0 ? 1_000_000 : 50_000);
        }
        assertTrue(estimator.medianUs() < 70_000, "median " + estimator.medianUs());
        assertTrue(estimator.meanUs() > 100_000, "mean " + estimator.meanUs());
    }
}
