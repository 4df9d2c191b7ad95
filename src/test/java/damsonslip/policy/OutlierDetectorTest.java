package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.IDEMPOTENT;
import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.actionsOfType;
import static damsonslip.policy.ScriptedScheduler.jobClass;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.Send;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Detects workers that fail, do not respond or are slow. */
class OutlierDetectorTest {
    /** The worker accepts jobs and responds to none. */
    @Test
    void sendsNothingToUnresponsiveWorker() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(1, 0, IDEMPOTENT)).workers(2);
        String unresponsive = sentTo(scheduler.jobArrives("first"), "first");
        int notServed = 0;
        for (int i = 0; i < 100; i++) {
            String id = "job" + i;
            String to = sentTo(scheduler.jobArrives(id), id);
            scheduler.advance(SECOND / 20);
            if (to != null && !to.equals(unresponsive)) {
                scheduler.attemptEnds(id, 0, AttemptOutcome.SERVED);
            } else if (i > 50) {
                notServed++;
            }
        }
        assertEquals(0, notServed);
    }

    /**
     * A worker that fails each job at once looks free and would attract all jobs without a pause.
     */
    @Test
    void retriesFailingWorkerWithIdempotentJobsOnly() {
        JobClass nonIdempotent = jobClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS);
        ScriptedScheduler scheduler =
                new ScriptedScheduler(settings(1, 0, IDEMPOTENT, nonIdempotent)).workers(4);
        int[] failed = new int[2];
        for (int i = 0; i < 400; i++) {
            String id = "job" + i;
            List<Action> at = scheduler.jobArrives(id, i % 2, 0, null);
            for (int attempt = 0;
                    "w0".equals(sentTo(at, id)) || "w3".equals(sentTo(at, id));
                    attempt++) {
                failed[i % 2]++;
                at = scheduler.attemptEnds(id, attempt, AttemptOutcome.ERROR);
            }
            scheduler.advance(SECOND / 20);
            scheduler.attemptEnds(
                    id,
                    actionsOfType(scheduler.actions, Send.class).stream()
                                    .filter(s -> s.job().equals(id))
                                    .toList()
                                    .size()
                            - 1,
                    AttemptOutcome.SERVED);
        }
        assertTrue(
                failed[0] > 0 && failed[0] + failed[1] < 30,
                failed[0] + " and " + failed[1] + " failed");
    }

    /** On an unreliable network, connections to healthy workers are lost. */
    @Test
    void keepsUsingWorkerThatRespondedDespiteReset() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(1, 0, IDEMPOTENT)).workers(1);
        scheduler.jobArrives("a");
        scheduler.jobArrives("b");
        scheduler.attemptEnds("a", 0, AttemptOutcome.SERVED);
        List<Action> after = scheduler.attemptEnds("b", 0, AttemptOutcome.RESET);
        assertEquals("w0", sentTo(after, "b"), "at once");
        scheduler.advance(SECOND);
        assertNull(
                sentTo(scheduler.attemptEnds("b", 1, AttemptOutcome.RESET), "b"),
                "a worker that has not responded lately is paused");
    }

    /** A worker that has slowed down looks as free as others, but all its jobs are late. */
    @Test
    void avoidsSlowWorkerWhileOthersAreFree() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(1, 0, IDEMPOTENT)).workers(4);
        int slow = 0;
        for (int i = 0; i < 200; i++) {
            String id = "job" + i;
            String to = sentTo(scheduler.jobArrives(id), id);
            scheduler.attemptStarts(id, 0);
            scheduler.advance("w0".equals(to) ? SECOND / 2 : SECOND / 10);
            scheduler.attemptEnds(id, 0, AttemptOutcome.SERVED);
            slow += "w0".equals(to) ? 1 : 0;
        }
        assertTrue(slow > 0 && slow < 20, slow + " of 200");
    }

    /**
     * Guards against a scheduler that avoids a failing worker only after some of its own jobs have
     * failed there.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.8, 3})
    void keepsNonIdempotentJobsFromWorkerThatReportsErrors(double errors) {
        ScriptedScheduler scheduler =
                new ScriptedScheduler(
                                settings(
                                        14,
                                        0,
                                        jobClass(
                                                Idempotency.NOT_IDEMPOTENT,
                                                IdempotencyScope.ALL_WORKERS)))
                        .workers(2);
        List<Action> first = scheduler.jobArrives("first");
        String failing = sentTo(first, "first");
        scheduler.advance(100_000);
        scheduler.handle(
                new AttemptEnded(
                        "first",
                        0,
                        AttemptOutcome.SERVED,
                        true,
                        new LoadReport(4, Double.NaN, Double.NaN, Double.NaN, errors)));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            used.add(sentTo(scheduler.jobArrives("j" + i), "j" + i));
            scheduler.advance(150_000);
            scheduler.attemptEnds("j" + i, 0, AttemptOutcome.SERVED);
        }
        assertEquals(
                errors < 1,
                used.contains(failing),
                "one error per second may be chance, more are not: " + used);
    }

    /** Each of many schedulers sends few jobs to a worker, so two have to be enough. */
    @Test
    void detectsSlowWorkerByFewJobs() {
        ScriptedScheduler scheduler =
                new ScriptedScheduler(settings(14, 0, IDEMPOTENT)).workers(10);
        Map<String, Integer> jobs = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String to = sentTo(scheduler.jobArrives("j" + i), "j" + i);
            jobs.merge(to, 1, Integer::sum);
            scheduler.attemptStarts("j" + i, 0);
            scheduler.advance(to.equals("w3") ? 400_000 : 100_000);
            scheduler.attemptEnds("j" + i, 0, AttemptOutcome.SERVED);
        }
        assertTrue(
                jobs.get("w3") <= 2,
                "a worker four times as slow got " + jobs.get("w3") + " of 60 jobs");
    }
}
