package damsonslip.policy;

import static damsonslip.policy.Script.SECOND;
import static damsonslip.policy.Script.jobClass;
import static damsonslip.policy.Script.only;
import static damsonslip.policy.Script.sentTo;
import static damsonslip.policy.Script.settings;
import static damsonslip.policy.Script.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.ClientDisconnected;
import damsonslip.policy.api.Fail;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.Reject;
import damsonslip.policy.api.SchedulersChanged;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.TimerDue;
import damsonslip.policy.api.WatchWorkerList;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The four rules, a test for every way to break one. */
class FourRulesTest {
    private static Script of(Idempotency effect, IdempotencyScope group) {
        return new Script(settings(1, 0, jobClass(effect, group)));
    }

    // ---- rule 1: one final answer, in time

    @Test
    void aJobWithoutAnyWorkerIsRefusedInTime() {
        Script script = of(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS);
        script.list(WorkerListChange.KEPT);
        long deadline = script.now + 10 * SECOND;
        List<Action> at = new ArrayList<>(script.job("a"));
        at.addAll(script.pass(deadline - script.now));
        assertEquals(1, only(at, Reject.class).size());
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void aJobStillOutAtItsDeadlineIsAnsweredOnceAndCalledOff(Idempotency effect) {
        Script script = of(effect, IdempotencyScope.CELL).workers(2);
        assertNotNull(sentTo(script.job("a"), "a"));
        script.started("a", 0);
        List<Action> at = script.pass(10 * SECOND);
        boolean harmless = effect == Idempotency.IDEMPOTENT;
        assertEquals(harmless ? 1 : 0, only(at, Reject.class).size());
        assertEquals(harmless ? 0 : 1, only(at, Fail.class).size());
        assertEquals(List.of(new Cancel("a", 0)), only(at, Cancel.class));
        List<Action> late = new ArrayList<>(script.ended("a", 0, AttemptOutcome.CANCELLED));
        late.addAll(script.pass(10 * SECOND));
        assertTrue(only(late, Reject.class).isEmpty() && only(late, Fail.class).isEmpty());
        assertTrue(only(late, Send.class).isEmpty());
    }

    @Test
    void nothingIsSentForAJobWhoseClientHasGone() {
        Script script = of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS).workers(2);
        script.job("a");
        script.give(new ClientDisconnected("a"));
        List<Action> after = new ArrayList<>(script.ended("a", 0, AttemptOutcome.RESET));
        after.addAll(script.pass(12 * SECOND));
        assertNull(sentTo(after, "a"));
        assertTrue(only(after, Reject.class).isEmpty() && only(after, Fail.class).isEmpty());
    }

    @Test
    void eventsOfUnknownJobsAndWorkersAreIgnored() {
        Script script = of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS).workers(1);
        assertTrue(script.ended("x", 0, AttemptOutcome.SERVED).isEmpty());
        assertTrue(script.started("x", 3).isEmpty());
        assertTrue(script.give(new ClientDisconnected("x")).isEmpty());
        assertTrue(script.give(new ProbeEnded("nobody", ProbeResult.HEALTHY, null)).isEmpty());
        assertTrue(script.give(new TimerDue("j:x")).isEmpty());
    }

    // ---- rule 2: no effect twice

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"ERROR", "TIMED_OUT", "RESET", "CANCELLED"})
    void anUnsafeJobThatMayHaveRunFailsAndIsNotRepeated(AttemptOutcome outcome) {
        Script script = of(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS).workers(3);
        script.job("a");
        List<Action> after = script.ended("a", 0, outcome);
        assertEquals(List.of(new Fail("a")), only(after, Fail.class));
        assertNull(sentTo(script.pass(10 * SECOND), "a"));
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"FULL", "NOT_CONNECTED", "NEVER_SENT"})
    void anUnsafeJobProvenNotRunIsSentAgain(AttemptOutcome outcome) {
        Script script = of(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS).workers(3);
        script.job("a");
        List<Action> after = new ArrayList<>(script.ended("a", 0, outcome));
        after.addAll(script.pass(SECOND));
        assertNotNull(sentTo(after, "a"));
    }

    @Test
    void proofForOneAttemptDoesNotClearAnEarlierOne() {
        Script script = of(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.CELL).workers(3);
        script.job("a");
        script.ended("a", 0, AttemptOutcome.RESET);
        script.pass(SECOND);
        List<Action> after = new ArrayList<>(script.ended("a", 1, AttemptOutcome.FULL));
        after.addAll(script.pass(10 * SECOND));
        assertTrue(only(after, Reject.class).isEmpty());
        assertEquals(1, only(after, Fail.class).size());
    }

    @ParameterizedTest
    @EnumSource(
            value = IdempotencyScope.class,
            names = {"ZONE", "CELL"})
    void aKeyedJobIsRepeatedOnlyWithinItsGroup(IdempotencyScope group) {
        Script script = of(Idempotency.IDEMPOTENT_WITH_KEY, group);
        script.list(
                WorkerListChange.KEPT,
                worker("a", 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE),
                worker("b", 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE),
                worker("c", 1, 1, WorkerStatus.RUNNING, Long.MIN_VALUE),
                worker("d", 1, 1, WorkerStatus.RUNNING, Long.MIN_VALUE));
        for (int i = 0; i < 20; i++) {
            String id = "job" + i;
            String first = sentTo(script.job(id), id);
            List<Action> after = new ArrayList<>(script.ended(id, 0, AttemptOutcome.ERROR));
            after.addAll(script.pass(2 * SECOND)); // workers pause after an error
            String second = sentTo(after, id);
            assertNotNull(second);
            assertEquals("ab".contains(first), "ab".contains(second));
            script.ended(id, 1, AttemptOutcome.SERVED);
        }
    }

    @Test
    void aKeyedJobIsNotRepeatedAfterItsWindow() {
        Script script =
                of(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.ALL_WORKERS).workers(2);
        script.job("a");
        script.pass(5 * SECOND);
        List<Action> after = new ArrayList<>(script.ended("a", 0, AttemptOutcome.TIMED_OUT));
        assertEquals(List.of("a"), only(after, Reject.class).stream().map(Reject::job).toList());
        assertNull(sentTo(after, "a"));
    }

    @Test
    void attemptsEndAtTheLimit() {
        Script script = of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS).workers(1);
        script.job("a");
        for (int i = 0; i < 4; i++) {
            script.ended("a", i, AttemptOutcome.ERROR);
            script.pass(2 * SECOND); // its only worker pauses for longer after each
        }
        assertEquals(4, only(script.all, Send.class).size());
        assertEquals(1, only(script.all, Reject.class).size());
    }

    // ---- rule 3: drains, and following the list

    @Test
    void nothingGoesToADrainingOrMissingWorker() {
        Script script = of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS);
        script.list(WorkerListChange.KEPT, worker("a"), worker("b"), worker("c"));
        script.list(
                WorkerListChange.CHANGES, worker("a", 0, 0, WorkerStatus.DRAINING, Long.MIN_VALUE));
        script.list(
                WorkerListChange.COMPLETE,
                worker("a", 0, 0, WorkerStatus.DRAINING, Long.MIN_VALUE),
                worker("c"));
        for (int i = 0; i < 30; i++) {
            String id = "job" + i;
            String to = sentTo(script.job(id), id);
            assertTrue(to == null || to.equals("c"), to);
            if (to != null) {
                script.ended(id, 0, AttemptOutcome.SERVED);
            }
        }
    }

    @Test
    void anAskedListIsWatchedAndAskedAgainAfterAFailure() {
        Script script =
                new Script(
                        settings(
                                1,
                                0,
                                List.of(),
                                true,
                                jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
        script.list(WorkerListChange.KEPT, worker("a"));
        assertEquals(1, only(script.pass(SECOND), WatchWorkerList.class).size());
        for (int i = 0; i < 8; i++) {
            script.list(WorkerListChange.FAILED);
            assertEquals(
                    1,
                    only(script.pass(10 * SECOND), WatchWorkerList.class).size(),
                    "after failure " + i);
        }
        script.list(WorkerListChange.CHANGES, worker("a"));
        assertTrue(only(script.pass(20 * SECOND), WatchWorkerList.class).isEmpty());
    }

    /**
     * A list that discovery no longer vouches for may name workers that drain: what comes is turned
     * away at once.
     */
    @Test
    void nothingIsSentOnAListThatNobodyVouchesFor() {
        Script script =
                new Script(
                        settings(
                                1,
                                0,
                                List.of(),
                                true,
                                jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
        script.list(WorkerListChange.KEPT, worker("a"));
        script.pass(SECOND);
        script.list(WorkerListChange.CHANGES);
        script.list(WorkerListChange.FAILED);
        script.pass(6 * SECOND);
        assertEquals("a", Script.sentTo(script.job("in time"), "in time"));
        script.ended("in time", 0, AttemptOutcome.SERVED);
        script.pass(SECOND);
        assertEquals(1, only(script.job("too late"), Reject.class).size());
        script.list(WorkerListChange.CHANGES);
        assertEquals("a", Script.sentTo(script.job("told"), "told"));
    }

    /**
     * A zone that comes back with its schedulers: what they get in their first moment waits for the
     * news.
     */
    @Test
    void whatComesBeforeTheFirstListIsHeldForIt() {
        Script script =
                new Script(
                        settings(
                                1,
                                0,
                                List.of(),
                                true,
                                jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
        script.list(WorkerListChange.KEPT, worker("gone"), worker("here"));
        assertNull(sentTo(script.job("x"), "x"));
        script.pass(SECOND / 2);
        assertEquals("here", sentTo(script.list(WorkerListChange.COMPLETE, worker("here")), "x"));
    }

    /** What an operator does here is no word from discovery. */
    @Test
    void anOverrideDoesNotVouchForTheList() {
        Script script =
                new Script(
                        settings(
                                1,
                                0,
                                List.of(),
                                true,
                                jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
        script.list(WorkerListChange.KEPT, worker("a"), worker("b"));
        script.pass(5 * SECOND);
        script.list(
                WorkerListChange.OVERRIDES,
                worker("b", 0, 0, WorkerStatus.DRAINING, Long.MIN_VALUE));
        assertEquals(1, only(script.job("x"), Reject.class).size());
    }

    /** Held jobs are answered when the list runs out, and not kept until their deadline. */
    @Test
    void whatIsHeldIsAnsweredWhenTheListRunsOut() {
        Script script =
                new Script(
                        settings(
                                1,
                                0,
                                List.of(),
                                true,
                                jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
        script.list(WorkerListChange.KEPT, worker("a"));
        script.pass(4 * SECOND);
        for (int i = 0; i < 12; i++) {
            script.job("j" + i);
        }
        int answered = only(script.all, Reject.class).size();
        int sent = only(script.all, Send.class).size();
        assertTrue(answered + sent < 12, "some are held");
        script.pass(SECOND / 2);
        assertEquals(
                12, only(script.all, Reject.class).size() + only(script.all, Send.class).size());
    }

    // ---- rule 4: cold workers

    @Test
    void dispatchersTogetherStayUnderAColdWorkersBudget() {
        int dispatchers = 20;
        long start = SECOND;
        List<Long> sends = new ArrayList<>();
        double jobUs = 200_000;
        for (int number = 0; number < dispatchers; number++) {
            Script script =
                    new Script(
                            settings(
                                    dispatchers,
                                    number,
                                    jobClass(
                                            Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
            script.list(WorkerListChange.KEPT, worker("cold", 0, 0, WorkerStatus.RUNNING, start));
            for (int i = 0; i < 400; i++) {
                String id = "job" + i;
                if (sentTo(script.job(id), id) != null) {
                    sends.add(script.now);
                    script.ended(id, 0, AttemptOutcome.FULL);
                }
                script.pass(20_000);
            }
        }
        assertFalse(sends.isEmpty(), "a cold worker gets something");
        for (long from = start; from < start + 6 * SECOND; from += 100_000) {
            long begin = from;
            double work =
                    sends.stream().filter(t -> t >= begin && t < begin + 2 * SECOND).count()
                            * jobUs;
            double capacity = 4 * (0.25 + 0.75 * (begin - start) / (8.0 * SECOND));
            assertTrue(work <= 3 * capacity * 2 * SECOND, work + " at " + (begin - start));
        }
    }

    /** An upgrade: together two processes send a cold worker no more than one would. */
    @Test
    void processesThatDivideADispatcherSpendItsBudgetOnce() {
        int alone = coldSends(1);
        int divided = coldSends(2);
        assertTrue(divided > 0, "it still gets something");
        assertTrue(divided <= 1.1 * alone, divided + " against " + alone);
    }

    private static int coldSends(int processes) {
        int sends = 0;
        for (int number = 0; number < 3 * processes; number++) {
            Script script =
                    new Script(
                            settings(
                                    3,
                                    number / processes,
                                    jobClass(
                                            Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
            script.list(WorkerListChange.KEPT, worker("cold", 0, 0, WorkerStatus.RUNNING, SECOND));
            if (processes > 1) {
                script.give(new SchedulersChanged(3 * processes, number));
            }
            for (int i = 0; i < 400; i++) {
                List<Action> actions = new ArrayList<>(script.job("job" + i));
                actions.addAll(script.pass(20_000));
                List<Send> open = new ArrayList<>(Script.only(actions, Send.class));
                for (int next = 0;
                        next < open.size();
                        next++) { // each end may lead to the next send
                    sends++;
                    open.addAll(
                            Script.only(
                                    script.ended(open.get(next).job(), 0, AttemptOutcome.SERVED),
                                    Send.class));
                }
            }
        }
        return sends;
    }

    @Test
    void aRestartMakesAWorkerCold() {
        int sent = 0;
        for (int number = 0; number < 40; number++) {
            Script script =
                    new Script(
                            settings(
                                    40,
                                    number,
                                    jobClass(
                                            Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
            script.list(WorkerListChange.KEPT, worker("a"));
            assertEquals("a", sentTo(script.job("x"), "x"));
            script.pass(SECOND / 5);
            script.ended("x", 0, AttemptOutcome.SERVED);
            script.list(
                    WorkerListChange.CHANGES, worker("a", 0, 0, WorkerStatus.RUNNING, script.now));
            sent += sentTo(script.job("y"), "y") == null ? 0 : 1;
        }
        assertTrue(
                sent > 0 && sent <= 10,
                sent + " of 40 take their turn, where the budget holds 11 jobs");
    }
}
