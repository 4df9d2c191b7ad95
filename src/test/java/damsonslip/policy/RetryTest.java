package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.actionsOfType;
import static damsonslip.policy.ScriptedScheduler.ofClass;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Fail;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.Reject;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** No job takes effect twice (rule 2). */
class RetryTest {
    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"ERROR", "TIMED_OUT", "RESET", "CANCELLED"})
    void failsNonIdempotentJobThatMayHaveRun(AttemptOutcome outcome) {
        ScriptedScheduler scheduler =
                ofClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS).workers(3);
        scheduler.jobArrives("a");
        List<Action> after = scheduler.attemptEnds("a", 0, outcome);
        assertEquals(List.of(new Fail("a")), actionsOfType(after, Fail.class));
        assertNull(sentTo(scheduler.advance(10 * SECOND), "a"));
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptOutcome.class,
            names = {"FULL", "NOT_CONNECTED", "NEVER_SENT"})
    void retriesNonIdempotentJobThatDidNotRun(AttemptOutcome outcome) {
        ScriptedScheduler scheduler =
                ofClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS).workers(3);
        scheduler.jobArrives("a");
        List<Action> after = new ArrayList<>(scheduler.attemptEnds("a", 0, outcome));
        after.addAll(scheduler.advance(SECOND));
        assertNotNull(sentTo(after, "a"));
    }

    @Test
    void failsJobWhoseEarlierAttemptMayHaveRun() {
        ScriptedScheduler scheduler =
                ofClass(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.CELL).workers(3);
        scheduler.jobArrives("a");
        scheduler.attemptEnds("a", 0, AttemptOutcome.RESET);
        scheduler.advance(SECOND);
        List<Action> after = new ArrayList<>(scheduler.attemptEnds("a", 1, AttemptOutcome.FULL));
        after.addAll(scheduler.advance(10 * SECOND));
        assertTrue(actionsOfType(after, Reject.class).isEmpty());
        assertEquals(1, actionsOfType(after, Fail.class).size());
    }

    @ParameterizedTest
    @EnumSource(
            value = IdempotencyScope.class,
            names = {"ZONE", "CELL"})
    void retriesJobWithIdempotencyKeyOnlyWithinItsScope(IdempotencyScope scope) {
        ScriptedScheduler scheduler = ofClass(Idempotency.IDEMPOTENT_WITH_KEY, scope);
        scheduler.updateWorkerList(
                WorkerListChange.CACHED,
                worker("a", 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE),
                worker("b", 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE),
                worker("c", 1, 1, WorkerStatus.RUNNING, Long.MIN_VALUE),
                worker("d", 1, 1, WorkerStatus.RUNNING, Long.MIN_VALUE));
        for (int i = 0; i < 20; i++) {
            String id = "job" + i;
            String first = sentTo(scheduler.jobArrives(id), id);
            List<Action> after =
                    new ArrayList<>(scheduler.attemptEnds(id, 0, AttemptOutcome.ERROR));
            after.addAll(scheduler.advance(2 * SECOND)); // workers are paused after an error
            String second = sentTo(after, id);
            assertNotNull(second);
            assertEquals("ab".contains(first), "ab".contains(second));
            scheduler.attemptEnds(id, 1, AttemptOutcome.SERVED);
        }
    }

    @Test
    void doesNotRetryJobWithIdempotencyKeyAfterItsWindow() {
        ScriptedScheduler scheduler =
                ofClass(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.ALL_WORKERS).workers(2);
        scheduler.jobArrives("a");
        scheduler.advance(5 * SECOND);
        List<Action> after =
                new ArrayList<>(scheduler.attemptEnds("a", 0, AttemptOutcome.TIMED_OUT));
        assertEquals(
                List.of("a"),
                actionsOfType(after, Reject.class).stream().map(Reject::job).toList());
        assertNull(sentTo(after, "a"));
    }

    @Test
    void stopsRetryingAtMaxAttempts() {
        ScriptedScheduler scheduler =
                ofClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS).workers(1);
        scheduler.jobArrives("a");
        for (int i = 0; i < 4; i++) {
            scheduler.attemptEnds("a", i, AttemptOutcome.ERROR);
            scheduler.advance(2 * SECOND); // the pause of the only worker grows with each error
        }
        assertEquals(4, actionsOfType(scheduler.actions, Send.class).size());
        assertEquals(1, actionsOfType(scheduler.actions, Reject.class).size());
    }
}
