package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Keeps track of the failures and pauses of a worker. */
class WorkerHealthTest {
    private final WorkerHealth health = new WorkerHealth();

    @Test
    void forgetsFailuresWhenAJobIsServed() {
        health.countFailure();
        health.recordServed();
        assertEquals(0, health.consecutiveFailures());
    }

    @Test
    void keepsFailuresWhileTheWorkerReportsErrors() {
        health.countFailure();
        health.setReportsErrors(true);
        health.recordServed();
        assertEquals(1, health.consecutiveFailures());
    }

    @Test
    void resumesAFullWorkerButNotAFailedOne() {
        health.pauseUntil(SECOND);
        health.resumeUnlessFailed();
        assertFalse(health.isPaused(0));
        health.countFailure();
        health.pauseUntil(SECOND);
        health.resumeUnlessFailed();
        assertTrue(health.isPaused(0));
    }

    @Test
    void keepsTheLongerPause() {
        health.pauseUntil(2 * SECOND);
        health.pauseAtLeastUntil(SECOND);
        assertEquals(2 * SECOND, health.pausedUntilUs());
    }

    @Test
    void forgetsFailuresAndPauseOnReset() {
        health.countFailure();
        health.pauseUntil(SECOND);
        health.reset();
        assertEquals(0, health.consecutiveFailures());
        assertFalse(health.isPaused(0));
    }
}
