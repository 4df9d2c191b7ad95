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

/** Sends jobs to workers of other classes' pools. */
class BorrowingTest {
    /**
     * The threshold limits the queue of the job's own pool; while another pool is mostly free, no
     * job is rejected.
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
                "more than the five workers of its own pool");
    }

    /**
     * If all workers of a pool are slow, the mean run time of the pool does not show it; the run
     * times at borrowed workers do.
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
                sentToSlow[0]
                        + " jobs in the first half, "
                        + sentToSlow[1]
                        + " in the second half at slow workers");
    }

    /**
     * Guards against rejecting jobs while other pools report free slots and the only worker of a
     * small pool fails.
     */
    @Test
    void borrowsAnyFreeSlotWhenThePoolIsUnavailable() {
        ScriptedScheduler scheduler =
                new ScriptedScheduler(settings(1, 0, IDEMPOTENT, IDEMPOTENT)).workers(8);
        for (int i = 0; i < 100; i++) {
            scheduler.reportedFreeSlots =
                    i % 20 == 0 ? 4 : 1.4; // of four slots: fewer than a pool lends normally
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
     * Guards against rejecting jobs of a class with a high priority weight while a class with a
     * lower one leaves slots free.
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
                    i % 20 < 2 ? 4 : 1.4; // of four slots: fewer than a pool lends normally
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
                priorityWeight > 1,
                used > 4,
                "its own pool has four of the eight workers: it used " + used);
    }
}
