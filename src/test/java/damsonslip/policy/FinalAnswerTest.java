package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.IDEMPOTENT;
import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.actionsOfType;
import static damsonslip.policy.ScriptedScheduler.ofClass;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.ClientDisconnected;
import damsonslip.policy.api.Fail;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.Reject;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.TimerDue;
import damsonslip.policy.api.WorkerListChange;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Each job gets exactly one final answer, in time (rule 1). */
class FinalAnswerTest {
    @Test
    void rejectsJobBeforeItsDeadlineWithoutWorkers() {
        ScriptedScheduler scheduler =
                ofClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS);
        scheduler.updateWorkerList(WorkerListChange.CACHED);
        long deadline = scheduler.now + 10 * SECOND;
        List<Action> at = new ArrayList<>(scheduler.jobArrives("a"));
        at.addAll(scheduler.advance(deadline - scheduler.now));
        assertEquals(1, actionsOfType(at, Reject.class).size());
    }

    @ParameterizedTest
    @EnumSource(Idempotency.class)
    void answersOnceAndCancelsAttemptAtDeadline(Idempotency idempotency) {
        ScriptedScheduler scheduler = ofClass(idempotency, IdempotencyScope.CELL).workers(2);
        assertNotNull(sentTo(scheduler.jobArrives("a"), "a"));
        scheduler.attemptStarts("a", 0);
        List<Action> at = scheduler.advance(10 * SECOND);
        boolean safeToRetry = idempotency == Idempotency.IDEMPOTENT;
        assertEquals(safeToRetry ? 1 : 0, actionsOfType(at, Reject.class).size());
        assertEquals(safeToRetry ? 0 : 1, actionsOfType(at, Fail.class).size());
        assertEquals(List.of(new Cancel("a", 0)), actionsOfType(at, Cancel.class));
        List<Action> late =
                new ArrayList<>(scheduler.attemptEnds("a", 0, AttemptOutcome.CANCELLED));
        late.addAll(scheduler.advance(10 * SECOND));
        assertTrue(
                actionsOfType(late, Reject.class).isEmpty()
                        && actionsOfType(late, Fail.class).isEmpty());
        assertTrue(actionsOfType(late, Send.class).isEmpty());
    }

    @Test
    void sendsNothingAfterClientDisconnects() {
        ScriptedScheduler scheduler =
                ofClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS).workers(2);
        scheduler.jobArrives("a");
        scheduler.handle(new ClientDisconnected("a"));
        List<Action> after = new ArrayList<>(scheduler.attemptEnds("a", 0, AttemptOutcome.RESET));
        after.addAll(scheduler.advance(12 * SECOND));
        assertNull(sentTo(after, "a"));
        assertTrue(
                actionsOfType(after, Reject.class).isEmpty()
                        && actionsOfType(after, Fail.class).isEmpty());
    }

    @Test
    void ignoresEventsOfUnknownJobsAndWorkers() {
        ScriptedScheduler scheduler =
                ofClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS).workers(1);
        assertTrue(scheduler.attemptEnds("x", 0, AttemptOutcome.SERVED).isEmpty());
        assertTrue(scheduler.attemptStarts("x", 3).isEmpty());
        assertTrue(scheduler.handle(new ClientDisconnected("x")).isEmpty());
        assertTrue(scheduler.handle(new ProbeEnded("nobody", ProbeResult.HEALTHY, null)).isEmpty());
        assertTrue(scheduler.handle(new TimerDue("j:x")).isEmpty());
    }

    @Test
    void rejectsInvalidEventsWithoutChange() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(1, 0, IDEMPOTENT)).workers(2);
        IllegalArgumentException unknown =
                assertThrows(
                        IllegalArgumentException.class,
                        () -> scheduler.jobArrives("a", 3, 0, null));
        assertTrue(unknown.getMessage().contains("unknown class: 3"));
        assertThrows(
                IllegalArgumentException.class, () -> new JobArrived(null, 0, 0, null, 1, 1, 0));
        scheduler.now -= SECOND / 2;
        assertThrows(IllegalArgumentException.class, () -> scheduler.jobArrives("a"));
        scheduler.now += SECOND;
        assertNotNull(sentTo(scheduler.jobArrives("a"), "a"));
        assertThrows(IllegalArgumentException.class, () -> scheduler.jobArrives("a"));
    }
}
