package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.IDEMPOTENT;
import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.actionsOfType;
import static damsonslip.policy.ScriptedScheduler.ofClass;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.settings;
import static damsonslip.policy.ScriptedScheduler.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.Reject;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.WatchWorkerList;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Jobs are sent only by a valid worker list, and not to draining workers (rule 3). */
class WorkerListTest {
    private static ScriptedScheduler pollingScheduler() {
        return new ScriptedScheduler(settings(1, 0, List.of(), true, IDEMPOTENT));
    }

    @Test
    void sendsNothingToDrainingOrUnlistedWorkers() {
        ScriptedScheduler scheduler = ofClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS);
        scheduler.updateWorkerList(WorkerListChange.CACHED, worker("a"), worker("b"), worker("c"));
        scheduler.updateWorkerList(
                WorkerListChange.CHANGES, worker("a", 0, 0, WorkerStatus.DRAINING, Long.MIN_VALUE));
        scheduler.updateWorkerList(
                WorkerListChange.COMPLETE,
                worker("a", 0, 0, WorkerStatus.DRAINING, Long.MIN_VALUE),
                worker("c"));
        for (int i = 0; i < 30; i++) {
            String id = "job" + i;
            String to = sentTo(scheduler.jobArrives(id), id);
            assertTrue(to == null || to.equals("c"), to);
            if (to != null) {
                scheduler.attemptEnds(id, 0, AttemptOutcome.SERVED);
            }
        }
    }

    @Test
    void pollsDiscoveryAgainAfterEachFailure() {
        ScriptedScheduler scheduler = pollingScheduler();
        scheduler.updateWorkerList(WorkerListChange.CACHED, worker("a"));
        assertEquals(1, actionsOfType(scheduler.advance(SECOND), WatchWorkerList.class).size());
        for (int i = 0; i < 8; i++) {
            scheduler.updateWorkerList(WorkerListChange.FAILED);
            assertEquals(
                    1,
                    actionsOfType(scheduler.advance(10 * SECOND), WatchWorkerList.class).size(),
                    "after failure " + i);
        }
        scheduler.updateWorkerList(WorkerListChange.CHANGES, worker("a"));
        assertTrue(actionsOfType(scheduler.advance(20 * SECOND), WatchWorkerList.class).isEmpty());
    }

    /** An expired list may contain workers that are draining by now. */
    @Test
    void rejectsJobsOnceTheWorkerListHasExpired() {
        ScriptedScheduler scheduler = pollingScheduler();
        scheduler.updateWorkerList(WorkerListChange.CACHED, worker("a"));
        scheduler.advance(SECOND);
        scheduler.updateWorkerList(WorkerListChange.CHANGES);
        scheduler.updateWorkerList(WorkerListChange.FAILED);
        scheduler.advance(6 * SECOND);
        assertEquals("a", sentTo(scheduler.jobArrives("in time"), "in time"));
        scheduler.attemptEnds("in time", 0, AttemptOutcome.SERVED);
        scheduler.advance(SECOND);
        assertEquals(1, actionsOfType(scheduler.jobArrives("too late"), Reject.class).size());
        scheduler.updateWorkerList(WorkerListChange.CHANGES);
        assertEquals("a", sentTo(scheduler.jobArrives("updated"), "updated"));
    }

    /**
     * The cached list of a new process may be old, so its first jobs wait for a list from
     * discovery.
     */
    @Test
    void queuesJobsUntilTheFirstWorkerList() {
        ScriptedScheduler scheduler = pollingScheduler();
        scheduler.updateWorkerList(WorkerListChange.CACHED, worker("gone"), worker("here"));
        assertNull(sentTo(scheduler.jobArrives("x"), "x"));
        scheduler.advance(SECOND / 2);
        assertEquals(
                "here",
                sentTo(scheduler.updateWorkerList(WorkerListChange.COMPLETE, worker("here")), "x"));
    }

    @Test
    void doesNotRenewTheWorkerListByAnOverride() {
        ScriptedScheduler scheduler = pollingScheduler();
        scheduler.updateWorkerList(WorkerListChange.CACHED, worker("a"), worker("b"));
        scheduler.advance(5 * SECOND);
        scheduler.updateWorkerList(
                WorkerListChange.OVERRIDES,
                worker("b", 0, 0, WorkerStatus.DRAINING, Long.MIN_VALUE));
        assertEquals(1, actionsOfType(scheduler.jobArrives("x"), Reject.class).size());
    }

    /** Guards against queueing jobs until their deadline although no worker may be used. */
    @Test
    void rejectsQueuedJobsWhenTheWorkerListExpires() {
        ScriptedScheduler scheduler = pollingScheduler();
        scheduler.updateWorkerList(WorkerListChange.CACHED, worker("a"));
        scheduler.advance(4 * SECOND);
        for (int i = 0; i < 12; i++) {
            scheduler.jobArrives("j" + i);
        }
        int rejected = actionsOfType(scheduler.actions, Reject.class).size();
        int sent = actionsOfType(scheduler.actions, Send.class).size();
        assertTrue(rejected + sent < 12, "some jobs are queued");
        scheduler.advance(SECOND / 2);
        assertEquals(
                12,
                actionsOfType(scheduler.actions, Reject.class).size()
                        + actionsOfType(scheduler.actions, Send.class).size());
    }
}
