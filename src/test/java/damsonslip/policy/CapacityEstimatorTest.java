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

/** Estimates free slots where each of many schedulers receives few load reports. */
class CapacityEstimatorTest {
    /** Guards against treating workers that have sent no report as idle. */
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
                "no worker has reported free slots: " + far);
    }

    /**
     * Guards against relying on reports from before a rolling restart, soon after which the same
     * workers are full.
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
        assertTrue(free < 1.3, "ten reports within 15 s show no free slots: " + free);
    }

    /**
     * Guards against sending further jobs to full workers while no reports arrive: a job that does
     * not start also shows that its worker is full.
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
        scheduler.advance(110_000); // long enough for the job to be migrated
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
