package damsonslip.policy;

import static damsonslip.policy.Script.SECOND;
import static damsonslip.policy.Script.jobClass;
import static damsonslip.policy.Script.sentTo;
import static damsonslip.policy.Script.worker;
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

/** Fleets whose workers are replaced by ones with other ids, day after day. */
class ForgottenWorkersTest {
    private static final int WORKERS = 20;
    private static final long MINUTE = 60 * SECOND;

    /** What may still be known: the workers of the last ten minutes, and those that are there. */
    private static final int MOST_KNOWN = 12 * WORKERS;

    private final Script script =
            new Script(
                    Script.settings(
                            1, 0, jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));

    private static WorkerEntry[] release(int round) {
        return IntStream.range(0, WORKERS)
                .mapToObj(i -> worker("w" + round + "-" + i))
                .toArray(WorkerEntry[]::new);
    }

    @Test
    void workersThatAreLongGoneAreForgotten() {
        for (int round = 0; round < 100; round++) {
            script.list(WorkerListChange.COMPLETE, release(round));
            String job = "j" + round;
            assertNotNull(sentTo(script.job(job), job));
            script.pass(SECOND / 10);
            script.ended(job, 0, AttemptOutcome.SERVED);
            script.pass(MINUTE);
        }
        int known = script.rules.workers(script.now).size();
        assertTrue(known <= MOST_KNOWN, known + " workers are known");
    }

    /** An attempt there is still out, whose end frees what it holds. */
    @Test
    void aWorkerWithAnAttemptOutIsKnownUntilThatEnds() {
        script.list(WorkerListChange.COMPLETE, worker("a"));
        script.give(new JobArrived("j1", 0, 0, null, script.now + 100 * MINUTE, 1, 0));
        script.list(WorkerListChange.COMPLETE, worker("b"));
        script.pass(20 * MINUTE);
        assertEquals(2, script.rules.workers(script.now).size());
        script.ended("j1", 0, AttemptOutcome.SERVED);
        script.pass(MINUTE);
        assertEquals(1, script.rules.workers(script.now).size());
    }

    /** A worker that was forgotten and comes back is one like any other. */
    @Test
    void aForgottenWorkerThatComesBackIsUsed() {
        script.list(WorkerListChange.COMPLETE, worker("a"), worker("b"));
        script.list(
                WorkerListChange.CHANGES, worker("a", 0, 0, WorkerStatus.REMOVED, Long.MIN_VALUE));
        script.pass(20 * MINUTE);
        assertEquals(1, script.rules.workers(script.now).size());
        script.list(
                WorkerListChange.CHANGES,
                worker("a"),
                worker("b", 0, 0, WorkerStatus.DRAINING, Long.MIN_VALUE));
        assertEquals("a", sentTo(script.job("j1"), "j1"));
    }
}
