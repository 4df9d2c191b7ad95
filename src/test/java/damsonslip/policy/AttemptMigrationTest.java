package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.IDEMPOTENT;
import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.actionsOfType;
import static damsonslip.policy.ScriptedScheduler.jobClass;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Send;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Migrates jobs whose attempts do not start. */
class AttemptMigrationTest {
    /** Only idempotent jobs are migrated; jobs with an affinity key stay with their worker. */
    @Test
    void migratesIdempotentJobThatDoesNotStart() {
        JobClass nonIdempotent = jobClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS);
        ScriptedScheduler scheduler =
                new ScriptedScheduler(settings(1, 0, IDEMPOTENT, nonIdempotent)).workers(4);
        scheduler.jobArrives("a");
        scheduler.attemptStarts("a", 0);
        assertTrue(
                actionsOfType(scheduler.advance(SECOND / 2), Cancel.class).isEmpty(),
                "a job that has started is not migrated");
        scheduler.jobArrives("b", 1, 0, null);
        scheduler.jobArrives("c", 0, 0, 5L);
        assertTrue(
                actionsOfType(scheduler.advance(SECOND / 2), Cancel.class).isEmpty(),
                "neither may be migrated");
        String firstWorker = sentTo(scheduler.jobArrives("d"), "d");
        assertEquals(
                List.of(new Cancel("d", 0)),
                actionsOfType(scheduler.advance(SECOND / 10), Cancel.class));
        List<Action> after =
                new ArrayList<>(scheduler.attemptEnds("d", 0, AttemptOutcome.CANCELLED));
        after.addAll(scheduler.advance(SECOND / 20));
        assertFalse(
                firstWorker.equals(sentTo(after, "d")), "not to the worker that did not start it");
        assertEquals(1, actionsOfType(after, Send.class).size());
    }

    /**
     * One in {@code delayedEvery} jobs starts 150 ms after it was sent, whichever the worker, and
     * the others start at once. Guards against migrations while all workers have queues: they add
     * load, since workers may go on running cancelled jobs.
     */
    @ParameterizedTest
    @CsvSource({"1, 0, 3", "2, 0, 10", "10, 35, 40"})
    void migratesJobsWhileMostStartPromptly(int delayedEvery, int minMigrated, int maxMigrated) {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(14, 0, IDEMPOTENT)).workers(8);
        int migrated = 0;
        for (int i = 0; i < 400; i++) {
            String job = "j" + i;
            scheduler.jobArrives(job);
            int attempt = 0;
            if (i % delayedEvery == delayedEvery - 1) {
                while (!actionsOfType(scheduler.advance(150_000), Cancel.class).isEmpty()) {
                    scheduler.attemptEnds(job, attempt++, AttemptOutcome.CANCELLED);
                }
                migrated += attempt > 0 ? 1 : 0;
            }
            scheduler.attemptStarts(job, attempt);
            scheduler.advance(50_000);
            scheduler.attemptEnds(job, attempt, AttemptOutcome.SERVED);
        }
        assertTrue(
                migrated >= minMigrated && migrated <= maxMigrated,
                migrated + " of 400 jobs are migrated");
    }
}
