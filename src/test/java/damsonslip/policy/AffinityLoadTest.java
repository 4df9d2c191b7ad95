package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Counts recent jobs of affinity keys. */
class AffinityLoadTest {
    private final AffinityLoad load = new AffinityLoad();

    @Test
    void countsJobsByKey() {
        load.countJob(1L, SECOND);
        load.countJob(2L, SECOND);
        assertEquals(2, load.countJob(1L, SECOND));
    }

    @Test
    void forgetsOldJobsGradually() {
        load.countJob(1L, 0);
        assertEquals(1 + Math.exp(-1), load.countJob(1L, 10 * SECOND), 1e-9);
    }

    @Test
    void removesKeysWithoutRecentJobs() {
        load.countJob(1L, 0);
        load.removeNegligible(10 * SECOND);
        assertFalse(load.isEmpty());
        load.removeNegligible(30 * SECOND);
        assertTrue(load.isEmpty());
    }
}
