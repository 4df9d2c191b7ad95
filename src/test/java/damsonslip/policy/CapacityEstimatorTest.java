package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.IDEMPOTENT;
import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.settings;
import static damsonslip.policy.ScriptedScheduler.worker;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerState;
import damsonslip.policy.api.WorkerStatus;
import org.junit.jupiter.api.Test;

/** Estimates free slots where each of many schedulers sees few reports. */
class CapacityEstimatorTest {
    /** Guards against taking workers that have not reported for idle. */
    @Test
    void assumesUnreportedWorkersAreAsFullAsTheRest() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(14, 0, IDEMPOTENT)).workers(8);
        scheduler.reportedFreeSlots = 0;
        for (int i = 0; i < 60; i++) {
            scheduler.jobArrives("j" + i);
            scheduler.advance(100_000);
            scheduler.attemptEnds("j" + i, 0, AttemptOutcome.SERVED);
        }
        scheduler.updateWorkerList(
                WorkerListChange.CHANGES,
                worker("far", 1, 0, WorkerStatus.RUNNING, Long.MIN_VALUE));
        WorkerState far = scheduler.policy.workers(scheduler.now).get(0);
        assertTrue(
                far.id().equals("far") && far.freeSlots() < 2,
                "no report says that anybody has room: " + far);
    }

    /**
     * Guards against reports from before a rolling restart, soon after which the same workers are
     * full.
     */
    @Test
    void discountsOldLoadReports() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(14, 0, IDEMPOTENT)).workers(8);
        for (int i = 0; i < 60; i++) {
            scheduler.reportedFreeSlots = i < 50 ? 4 : 0;
            scheduler.jobArrives("j" + i);
            scheduler.advance(3 * SECOND / 2);
            scheduler.attemptEnds("j" + i, 0, AttemptOutcome.SERVED);
        }
        double free =
                scheduler.policy.workers(scheduler.now).stream()
                        .mapToDouble(WorkerState::freeSlots)
                        .average()
                        .orElseThrow();
        assertTrue(free < 1.3, "ten reports in fifteen seconds say that all are full: " + free);
    }

    /**
     * Guards against sending job after job to full workers while no report comes: a job that does
     * not start shows as much.
     */
    @Test
    void lowersFreeSlotsOfSimilarWorkersWhenAJobDoesNotStart() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(14, 0, IDEMPOTENT)).workers(8);
        for (int i = 0; i < 40; i++) {
            scheduler.jobArrives("j" + i);
            scheduler.attemptStarts("j" + i, 0);
            scheduler.advance(100_000);
            scheduler.attemptEnds("j" + i, 0, AttemptOutcome.SERVED);
        }
        double before = meanFreeSlots(scheduler);
        String to = sentTo(scheduler.jobArrives("x"), "x");
        scheduler.advance(110_000); // and it is moved
        scheduler.attemptEnds("x", 0, AttemptOutcome.CANCELLED);
        scheduler.advance(20_000);
        assertTrue(
                scheduler.policy.workers(scheduler.now).stream()
                        .anyMatch(w -> w.id().equals(to) && w.freeSlots() < 1.5),
                to);
        assertTrue(
                meanFreeSlots(scheduler) < before - 0.5,
                "from " + before + " to " + meanFreeSlots(scheduler));
    }

    private static double meanFreeSlots(ScriptedScheduler scheduler) {
        return scheduler.policy.workers(scheduler.now).stream()
                .mapToDouble(WorkerState::freeSlots)
                .average()
                .orElseThrow();
    }
}
