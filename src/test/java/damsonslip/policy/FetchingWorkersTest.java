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
 * What the module makes of workers that offer their slots by themselves, and of jobs that not all
 * of them take.
 */
class FetchingWorkersTest {
    private static Script script() {
        return new Script(
                Script.settings(
                        1,
                        0,
                        Script.jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS),
                        Script.jobClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
    }

    private static List<String> send(Script script, String id, Predicate<String> fits) {
        return sent(
                script.give(
                        new JobArrived(
                                id, 0, 0, null, script.now + 10 * Script.SECOND, 1, 0, 1, fits)));
    }

    private static List<String> sent(List<Action> actions) {
        List<String> workers = new ArrayList<>();
        actions.stream()
                .filter(Send.class::isInstance)
                .forEach(action -> workers.add(((Send) action).worker()));
        return workers;
    }

    private static void offers(Script script, String worker, int free, int slots) {
        script.give(
                new ProbeEnded(
                        worker,
                        ProbeResult.HEALTHY,
                        LoadReport.fromOfferedSlots(free, Double.NaN, slots - free, slots)));
    }

    private static void ended(Script script, String id, AttemptOutcome outcome) {
        script.give(new AttemptEnded(id, 0, outcome, outcome == AttemptOutcome.SERVED, null));
    }

    @Test
    void aJobGoesOnlyToAWorkerThatFitsEvenIfNoneOfItsOwnPoolDoes() {
        Script script = script().workers(4);
        for (int i = 0; i < 4; i++) {
            String only = "w" + i;
            List<String> went = new ArrayList<>(send(script, "j" + i, only::equals));
            went.addAll(sent(script.pass(3 * Script.SECOND)));
            assertEquals(List.of(only), went, "whichever pool that worker is in");
            ended(script, "j" + i, AttemptOutcome.SERVED);
        }
    }

    @Test
    void aWorkerIsAsLargeAsItSays() {
        Script script = script().workers(1);
        offers(script, "w0", 20, 20);
        int went = 0;
        for (int i = 0; i < 20; i++) {
            went += send(script, "j" + i, null).size();
        }
        assertEquals(20, went, "though nothing of its kind was ever seen before");
        WorkerState state = script.rules.workers(script.now).get(0);
        assertEquals(0, state.freeSlots(), 0.01);
        ended(script, "j0", AttemptOutcome.SERVED);
        assertEquals(
                0,
                script.rules.workers(script.now).get(0).freeSlots(),
                0.01,
                "its slot is free once it is offered");
        offers(script, "w0", 1, 20);
        assertEquals(1, script.rules.workers(script.now).get(0).freeSlots(), 0.01);
    }

    @Test
    void aWorkerWithOneLongJobIsNotSilentWhileItOffersSlots() {
        Script script = script().workers(1);
        offers(script, "w0", 2, 2);
        assertEquals(1, send(script, "long", null).size());
        script.started("long", 0);
        script.pass(60 * Script.SECOND / 10);
        offers(script, "w0", 1, 2);
        assertEquals(List.of("w0"), send(script, "next", null), "it asked for another");
    }

    @Test
    void aFailedJobIsNotAFailingWorkerButSeveralInARowAre() {
        Script script = script().workers(1);
        offers(script, "w0", 4, 4);
        for (int i = 0; i < 3; i++) {
            send(script, "f" + i, null);
            ended(script, "f" + i, AttemptOutcome.ERROR);
            assertTrue(!script.rules.workers(script.now).get(0).paused(), "after " + (i + 1));
            offers(script, "w0", 4, 4);
        }
        send(script, "good", null);
        ended(script, "good", AttemptOutcome.SERVED);
        for (int i = 0; i < 4; i++) {
            assertTrue(
                    !script.rules.workers(script.now).get(0).paused(),
                    "what was done between counts");
            offers(script, "w0", 4, 4);
            send(script, "g" + i, null);
            ended(script, "g" + i, AttemptOutcome.ERROR);
        }
        assertTrue(
                script.rules.workers(script.now).get(0).paused(), "four with nothing done between");
    }

    @Test
    void chanceInVeryShortJobsDoesNotMakeAWorkerSlow() {
        Script script = script().workers(1);
        offers(script, "w0", 4, 4);
        for (int i = 0; i < 40; i++) {
            send(script, "q" + i, null);
            script.now += i % 4 == 0 ? 4_000 : 200; // now and then twenty times as long as usual
            ended(script, "q" + i, AttemptOutcome.SERVED);
            offers(script, "w0", 4, 4);
        }
        assertEquals(List.of("w0"), send(script, "last", null), "at once");
    }
}
