package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.IDEMPOTENT;
import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.actionsOfType;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.settings;
import static damsonslip.policy.ScriptedScheduler.workersUsedByClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Reject;
import damsonslip.policy.api.Send;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends jobs to the pools of other classes. */
class BorrowingTest {
    /**
     * The threshold bounds the queue of the own pool; beside a mostly free pool no job is rejected.
     */
    @Test
    void borrowsFromMostlyFreePoolInsteadOfRejecting() {
        ScriptedScheduler scheduler =
                new ScriptedScheduler(settings(1, 0, IDEMPOTENT, IDEMPOTENT)).workers(10);
        workersUsedByClass(scheduler, 600);
        List<Action> all = new ArrayList<>();
        for (int i = 0; i < 34; i++) {
            all.addAll(scheduler.jobArrives("burst" + i, 0, 0, null));
        }
        assertEquals(0, actionsOfType(all, Reject.class).size());
        assertTrue(
                actionsOfType(all, Send.class).stream().map(Send::worker).distinct().count() > 5,
                "beyond the own five");
    }

    /**
     * If the whole pool of a class is slow, its mean run time does not show that; the run times at
     * borrowed workers do.
     */
    @Test
    void borrowsWhenAllWorkersOfThePoolAreSlow() {
        ScriptedScheduler scheduler =
                new ScriptedScheduler(settings(1, 0, IDEMPOTENT, IDEMPOTENT)).workers(4);
        int[] sentToSlow = new int[2];
        for (int round = 0; round < 120; round++) {
            String prefix = "job" + round + "-";
            Set<String> jobsAtSlowWorkers = new TreeSet<>();
            for (int j = 0; j < 12; j++) {
                String id = prefix + j;
                scheduler.jobArrives(id, j % 2, 0, null);
            }
            scheduler.advance(SECOND / 20);
            for (Send send : actionsOfType(scheduler.actions, Send.class)) {
                if (send.job().startsWith(prefix)) {
                    scheduler.attemptStarts(send.job(), 0);
                    if (send.worker().compareTo("w2") < 0) {
                        jobsAtSlowWorkers.add(send.job());
                    }
                }
            }
            scheduler.advance(SECOND / 10);
            actionsOfType(scheduler.actions, Send.class).stream()
                    .map(Send::job)
                    .filter(job -> job.startsWith(prefix) && !jobsAtSlowWorkers.contains(job))
                    .forEach(job -> scheduler.attemptEnds(job, 0, AttemptOutcome.SERVED));
            scheduler.advance(SECOND);
            jobsAtSlowWorkers.forEach(job -> scheduler.attemptEnds(job, 0, AttemptOutcome.SERVED));
            sentToSlow[round < 60 ? 0 : 1] += jobsAtSlowWorkers.size();
        }
        assertTrue(
                sentToSlow[0] > 0 && sentToSlow[1] < sentToSlow[0] / 2,
                sentToSlow[0] + ", then " + sentToSlow[1] + " at slow workers");
    }

    /**
     * Guards against rejecting jobs beside reported free slots while the only worker of a small
     * pool fails.
     */
    @Test
    void borrowsAnyFreeSlotWhenThePoolIsUnavailable() {
        ScriptedScheduler scheduler =
                new ScriptedScheduler(settings(1, 0, IDEMPOTENT, IDEMPOTENT)).workers(8);
        for (int i = 0; i < 100; i++) {
            scheduler.reportedFreeSlots =
                    i % 20 == 0 ? 4 : 1.4; // of four: less than a pool lends in good times
            scheduler.jobArrives("j" + i, i % 20 == 0 ? 1 : 0, 0, null);
            scheduler.advance(100_000);
            scheduler.attemptEnds("j" + i, 0, AttemptOutcome.SERVED);
        }
        String own = sentTo(scheduler.jobArrives("x", 1, 0, null), "x");
        scheduler.attemptEnds("x", 0, AttemptOutcome.NOT_CONNECTED);
        String borrowed = sentTo(scheduler.advance(110_000), "x");
        assertTrue(
                borrowed != null && !borrowed.equals(own),
                "sent to " + own + ", then to " + borrowed);
    }

    /**
     * Guards against rejecting jobs of a valuable class beside slots that a cheaper one leaves
     * free.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.2, 5})
    void borrowsAnyFreeSlotForMoreValuableClass(double priorityWeight) {
        JobClass first =
                new JobClass(
                        200_000,
                        2,
                        priorityWeight,
                        Idempotency.IDEMPOTENT,
                        IdempotencyScope.ALL_WORKERS,
                        5 * SECOND,
                        -1);
        ScriptedScheduler scheduler =
                new ScriptedScheduler(settings(1, 0, first, IDEMPOTENT)).workers(8);
        for (int i = 0; i < 200; i++) {
            scheduler.reportedFreeSlots =
                    i % 20 < 2 ? 4 : 1.4; // of four: less than a pool lends in good times
            scheduler.jobArrives("j" + i, i % 2, 0, null);
            scheduler.advance(100_000);
            scheduler.attemptEnds("j" + i, 0, AttemptOutcome.SERVED);
        }
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            actions.addAll(scheduler.jobArrives("x" + i, 0, 0, null));
        }
        long used =
                actionsOfType(actions, Send.class).stream().map(Send::worker).distinct().count();
        assertEquals(
                priorityWeight > 1, used > 4, "half of the workers are its own: it used " + used);
    }
}
