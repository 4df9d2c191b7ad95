package damsonslip.policy;

import static damsonslip.policy.Script.SECOND;
import static damsonslip.policy.Script.jobClass;
import static damsonslip.policy.Script.sentTo;
import static damsonslip.policy.Script.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Effect;
import damsonslip.policy.api.Group;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.ListMode;
import damsonslip.policy.api.Outcome;
import damsonslip.policy.api.Status;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Fleets whose workers are replaced by ones with other ids, day after day. */
class ForgottenWorkersTest {
    private static final int WORKERS = 20;
    private static final long MINUTE = 60 * SECOND;

    /** What may still be known: the workers of the last ten minutes, and those that are there. */
    private static final int MOST_KNOWN = 12 * WORKERS;

    private final Script script =
            new Script(Script.settings(1, 0, jobClass(Effect.SAFE, Group.ALL)));

    private static damsonslip.policy.api.Worker[] release(int round) {
        return IntStream.range(0, WORKERS)
                .mapToObj(i -> worker("w" + round + "-" + i))
                .toArray(damsonslip.policy.api.Worker[]::new);
    }

    @Test
    void workersThatAreLongGoneAreForgotten() {
        for (int round = 0; round < 100; round++) {
            script.list(ListMode.COMPLETE, release(round));
            String job = "j" + round;
            assertNotNull(sentTo(script.job(job), job));
            script.pass(SECOND / 10);
            script.ended(job, 0, Outcome.SERVED);
            script.pass(MINUTE);
        }
        int known = script.rules.workers(script.now).size();
        assertTrue(known <= MOST_KNOWN, known + " workers are known");
    }

    /** An attempt there is still out, whose end frees what it holds. */
    @Test
    void aWorkerWithAnAttemptOutIsKnownUntilThatEnds() {
        script.list(ListMode.COMPLETE, worker("a"));
        script.give(new JobArrived("j1", 0, 0, null, script.now + 100 * MINUTE, 1, 0));
        script.list(ListMode.COMPLETE, worker("b"));
        script.pass(20 * MINUTE);
        assertEquals(2, script.rules.workers(script.now).size());
        script.ended("j1", 0, Outcome.SERVED);
        script.pass(MINUTE);
        assertEquals(1, script.rules.workers(script.now).size());
    }

    /** A worker that was forgotten and comes back is one like any other. */
    @Test
    void aForgottenWorkerThatComesBackIsUsed() {
        script.list(ListMode.COMPLETE, worker("a"), worker("b"));
        script.list(ListMode.CHANGES, worker("a", 0, 0, Status.GONE, Long.MIN_VALUE));
        script.pass(20 * MINUTE);
        assertEquals(1, script.rules.workers(script.now).size());
        script.list(
                ListMode.CHANGES, worker("a"), worker("b", 0, 0, Status.DRAINING, Long.MIN_VALUE));
        assertEquals("a", sentTo(script.job("j1"), "j1"));
    }
}
