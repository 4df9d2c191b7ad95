package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.jobClass;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Workers are forgotten some time after others with new ids have replaced them. */
class WorkerRetentionTest {
    private static final int WORKERS = 20;
    private static final long MINUTE = 60 * SECOND;

    /** Running workers plus those that stopped within the retention time. */
    private static final int MAX_KNOWN_WORKERS = 12 * WORKERS;

    private final ScriptedScheduler scheduler =
            new ScriptedScheduler(
                    ScriptedScheduler.settings(
                            1, 0, jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));

    private static WorkerEntry[] workersOfRelease(int round) {
        return IntStream.range(0, WORKERS)
                .mapToObj(i -> worker("w" + round + "-" + i))
                .toArray(WorkerEntry[]::new);
    }

    @Test
    void forgetsWorkersThatStoppedLongAgo() {
        for (int round = 0; round < 100; round++) {
            scheduler.updateWorkerList(WorkerListChange.COMPLETE, workersOfRelease(round));
            String job = "j" + round;
            assertNotNull(sentTo(scheduler.jobArrives(job), job));
            scheduler.advance(SECOND / 10);
            scheduler.attemptEnds(job, 0, AttemptOutcome.SERVED);
            scheduler.advance(MINUTE);
        }
        int known = scheduler.policy.workers(scheduler.now).size();
        assertTrue(known <= MAX_KNOWN_WORKERS, known + " workers are still known");
    }

    @Test
    void keepsStoppedWorkerWhileAnAttemptIsOutstanding() {
        scheduler.updateWorkerList(WorkerListChange.COMPLETE, worker("a"));
        scheduler.handle(new JobArrived("j1", 0, 0, null, scheduler.now + 100 * MINUTE, 1, 0));
        scheduler.updateWorkerList(WorkerListChange.COMPLETE, worker("b"));
        scheduler.advance(20 * MINUTE);
        assertEquals(2, scheduler.policy.workers(scheduler.now).size());
        scheduler.attemptEnds("j1", 0, AttemptOutcome.SERVED);
        scheduler.advance(MINUTE);
        assertEquals(1, scheduler.policy.workers(scheduler.now).size());
    }

    @Test
    void usesForgottenWorkerThatIsListedAgain() {
        scheduler.updateWorkerList(WorkerListChange.COMPLETE, worker("a"), worker("b"));
        scheduler.updateWorkerList(
                WorkerListChange.CHANGES, worker("a", 0, 0, WorkerStatus.REMOVED, Long.MIN_VALUE));
        scheduler.advance(20 * MINUTE);
        assertEquals(1, scheduler.policy.workers(scheduler.now).size());
        scheduler.updateWorkerList(
                WorkerListChange.CHANGES,
                worker("a"),
                worker("b", 0, 0, WorkerStatus.DRAINING, Long.MIN_VALUE));
        assertEquals("a", sentTo(scheduler.jobArrives("j1"), "j1"));
    }
}
