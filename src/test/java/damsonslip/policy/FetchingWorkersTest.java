package damsonslip.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.WorkerState;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/**
 * Workers that fetch jobs and offer their slots, and jobs for which not all workers are eligible.
 */
class FetchingWorkersTest {
    private static ScriptedScheduler newScheduler() {
        return new ScriptedScheduler(
                ScriptedScheduler.settings(
                        1,
                        0,
                        ScriptedScheduler.jobClass(
                                Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS),
                        ScriptedScheduler.jobClass(
                                Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
    }

    private static List<String> send(
            ScriptedScheduler scheduler, String id, Predicate<String> isEligible) {
        return sent(
                scheduler.handle(
                        new JobArrived(
                                id,
                                0,
                                0,
                                null,
                                scheduler.now + 10 * ScriptedScheduler.SECOND,
                                1,
                                0,
                                1,
                                isEligible)));
    }

    private static List<String> sent(List<Action> actions) {
        List<String> workers = new ArrayList<>();
        actions.stream()
                .filter(Send.class::isInstance)
                .forEach(action -> workers.add(((Send) action).worker()));
        return workers;
    }

    private static void offersSlots(
            ScriptedScheduler scheduler, String worker, int free, int slots) {
        scheduler.handle(
                new ProbeEnded(
                        worker,
                        ProbeResult.HEALTHY,
                        LoadReport.fromOfferedSlots(free, Double.NaN, slots - free, slots)));
    }

    private static void attemptEnds(
            ScriptedScheduler scheduler, String id, AttemptOutcome outcome) {
        scheduler.handle(new AttemptEnded(id, 0, outcome, outcome == AttemptOutcome.SERVED, null));
    }

    @Test
    void sendsJobToItsOnlyEligibleWorkerInAnyPool() {
        ScriptedScheduler scheduler = newScheduler().workers(4);
        for (int i = 0; i < 4; i++) {
            String eligibleWorker = "w" + i;
            List<String> sends = new ArrayList<>(send(scheduler, "j" + i, eligibleWorker::equals));
            sends.addAll(sent(scheduler.advance(3 * ScriptedScheduler.SECOND)));
            assertEquals(List.of(eligibleWorker), sends, "in whichever pool its worker is");
            attemptEnds(scheduler, "j" + i, AttemptOutcome.SERVED);
        }
    }

    @Test
    void usesTheSlotsThatAWorkerOffers() {
        ScriptedScheduler scheduler = newScheduler().workers(1);
        offersSlots(scheduler, "w0", 20, 20);
        int sends = 0;
        for (int i = 0; i < 20; i++) {
            sends += send(scheduler, "j" + i, null).size();
        }
        assertEquals(20, sends, "although no worker of its kind has reported slots before");
        WorkerState state = scheduler.policy.workers(scheduler.now).get(0);
        assertEquals(0, state.freeSlots(), 0.01);
        attemptEnds(scheduler, "j0", AttemptOutcome.SERVED);
        assertEquals(
                0,
                scheduler.policy.workers(scheduler.now).get(0).freeSlots(),
                0.01,
                "its slot counts as free only once it is offered");
        offersSlots(scheduler, "w0", 1, 20);
        assertEquals(1, scheduler.policy.workers(scheduler.now).get(0).freeSlots(), 0.01);
    }

    @Test
    void keepsUsingBusyWorkerThatOffersSlots() {
        ScriptedScheduler scheduler = newScheduler().workers(1);
        offersSlots(scheduler, "w0", 2, 2);
        assertEquals(1, send(scheduler, "long", null).size());
        scheduler.attemptStarts("long", 0);
        scheduler.advance(60 * ScriptedScheduler.SECOND / 10);
        offersSlots(scheduler, "w0", 1, 2);
        assertEquals(
                List.of("w0"), send(scheduler, "next", null), "the worker offered another slot");
    }

    @Test
    void pausesWorkerOnlyAfterSeveralFailedJobsInARow() {
        ScriptedScheduler scheduler = newScheduler().workers(1);
        offersSlots(scheduler, "w0", 4, 4);
        for (int i = 0; i < 3; i++) {
            send(scheduler, "f" + i, null);
            attemptEnds(scheduler, "f" + i, AttemptOutcome.ERROR);
            assertTrue(
                    !scheduler.policy.workers(scheduler.now).get(0).paused(), "after " + (i + 1));
            offersSlots(scheduler, "w0", 4, 4);
        }
        send(scheduler, "good", null);
        attemptEnds(scheduler, "good", AttemptOutcome.SERVED);
        for (int i = 0; i < 4; i++) {
            assertTrue(
                    !scheduler.policy.workers(scheduler.now).get(0).paused(),
                    "a served job in between resets the count");
            offersSlots(scheduler, "w0", 4, 4);
            send(scheduler, "g" + i, null);
            attemptEnds(scheduler, "g" + i, AttemptOutcome.ERROR);
        }
        assertTrue(
                scheduler.policy.workers(scheduler.now).get(0).paused(),
                "after four failures without a served job in between");
    }

    @Test
    void toleratesNoiseInVeryShortRunTimes() {
        ScriptedScheduler scheduler = newScheduler().workers(1);
        offersSlots(scheduler, "w0", 4, 4);
        for (int i = 0; i < 40; i++) {
            send(scheduler, "q" + i, null);
            scheduler.now +=
                    i % 4 == 0 ? 4_000 : 200; // every fourth job takes twenty times as long
            attemptEnds(scheduler, "q" + i, AttemptOutcome.SERVED);
            offersSlots(scheduler, "w0", 4, 4);
        }
        assertEquals(List.of("w0"), send(scheduler, "last", null), "the worker is not avoided");
    }
}
