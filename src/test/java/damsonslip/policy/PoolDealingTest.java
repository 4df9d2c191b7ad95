package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.IDEMPOTENT;
import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.settings;
import static damsonslip.policy.ScriptedScheduler.worker;
import static damsonslip.policy.ScriptedScheduler.workersUsedByClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Limits;
import damsonslip.policy.api.LoadReporting;
import damsonslip.policy.api.PoolState;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Assigns workers to the pools of the job classes. */
class PoolDealingTest {
    @Test
    void sendsEachClassToItsOwnPool() {
        List<Set<String>> used =
                workersUsedByClass(
                        new ScriptedScheduler(settings(1, 0, IDEMPOTENT, IDEMPOTENT)).workers(10),
                        600);
        assertEquals(5, used.get(0).size());
        assertEquals(5, used.get(1).size());
        assertTrue(used.get(0).stream().noneMatch(used.get(1)::contains));
    }

    @Test
    void dealsIdenticallyAtAllSchedulersInAnyListOrder() {
        ScriptedScheduler one =
                new ScriptedScheduler(settings(4, 0, IDEMPOTENT, IDEMPOTENT)).workers(8);
        ScriptedScheduler other = new ScriptedScheduler(settings(4, 3, IDEMPOTENT, IDEMPOTENT));
        List<WorkerEntry> reversed = new ArrayList<>();
        for (int i = 7; i >= 0; i--) {
            reversed.add(worker("w" + i));
        }
        other.updateWorkerList(WorkerListChange.COMPLETE, reversed.toArray(WorkerEntry[]::new));
        assertEquals(workersUsedByClass(one, 400), workersUsedByClass(other, 400));
    }

    @Test
    void servesEveryClassWithFewerWorkersThanClasses() {
        List<Set<String>> used =
                workersUsedByClass(
                        new ScriptedScheduler(settings(1, 0, IDEMPOTENT, IDEMPOTENT)).workers(1),
                        60);
        assertFalse(used.get(0).isEmpty());
        assertFalse(used.get(1).isEmpty());
    }

    @Test
    void sendsClassWithRequiredKindToThatKindOnly() {
        JobClass ofKindOne =
                new JobClass(
                        200_000,
                        2,
                        1,
                        Idempotency.IDEMPOTENT,
                        IdempotencyScope.ALL_WORKERS,
                        SECOND,
                        1);
        ScriptedScheduler scheduler =
                new ScriptedScheduler(
                        new Settings(
                                1,
                                0,
                                0,
                                1,
                                2,
                                List.of(IDEMPOTENT, ofKindOne),
                                List.of(),
                                new Limits(4, true, true, 0, 0),
                                new Guarantees(0, 0, 0, 0.5, SECOND, 3, SECOND),
                                LoadReporting.WITH_RESPONSES,
                                false,
                                true,
                                1_000));
        List<WorkerEntry> list = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            list.add(new WorkerEntry("w" + i, 0, 0, i % 2, WorkerStatus.RUNNING, Long.MIN_VALUE));
        }
        scheduler.updateWorkerList(WorkerListChange.CACHED, list.toArray(WorkerEntry[]::new));
        for (String to : workersUsedByClass(scheduler, 300).get(1)) {
            assertEquals(1, (to.charAt(1) - '0') % 2, to);
        }
    }

    /** Where possible, every pool gets workers of each zone, so that jobs need not cross zones. */
    @Test
    void dealsWorkersOfEachZoneToEveryPool() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(1, 0, IDEMPOTENT, IDEMPOTENT));
        List<WorkerEntry> list = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            list.add(worker("w" + i, i < 4 ? 1 : 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE));
        }
        scheduler.updateWorkerList(WorkerListChange.CACHED, list.toArray(WorkerEntry[]::new));
        for (Set<String> used : workersUsedByClass(scheduler, 400)) {
            assertTrue(
                    used.stream().allMatch(w -> w.compareTo("w4") >= 0),
                    "all in the scheduler's own zone: " + used);
        }
    }

    @Test
    void takesTheSameActionsAlongsideAnotherScheduler() {
        ScriptedScheduler alone =
                new ScriptedScheduler(settings(2, 0, IDEMPOTENT, IDEMPOTENT)).workers(6);
        workersUsedByClass(alone, 200);
        ScriptedScheduler again =
                new ScriptedScheduler(settings(2, 0, IDEMPOTENT, IDEMPOTENT)).workers(6);
        ScriptedScheduler otherScheduler =
                new ScriptedScheduler(settings(2, 1, IDEMPOTENT, IDEMPOTENT)).workers(6);
        for (int i = 0; i < 200; i++) {
            String id = "job" + i;
            otherScheduler.jobArrives(id, i % 2, 0, null);
            String to = sentTo(again.jobArrives(id, i % 2, 0, null), id);
            if (to != null) {
                again.attemptStarts(id, 0);
            }
            again.advance(SECOND / 10);
            if (to != null) {
                again.attemptEnds(id, 0, AttemptOutcome.SERVED);
            }
        }
        assertEquals(alone.actions, again.actions);
    }

    /**
     * The first deal delays the first request and runs before the JIT compiler has compiled the
     * code.
     */
    @Test
    void dealsManyWorkersQuickly() {
        ScriptedScheduler scheduler =
                new ScriptedScheduler(settings(100, 0, IDEMPOTENT, IDEMPOTENT));
        long before = System.nanoTime();
        scheduler.updateWorkerList(
                WorkerListChange.CACHED,
                IntStream.range(0, 3_000)
                        .mapToObj(
                                i ->
                                        worker(
                                                "w" + i,
                                                i % 2,
                                                0,
                                                WorkerStatus.RUNNING,
                                                Long.MIN_VALUE))
                        .toArray(WorkerEntry[]::new));
        long tookMs = (System.nanoTime() - before) / 1_000_000;
        assertTrue(tookMs < 5_000, "dealing 3,000 workers took " + tookMs + " ms");
        assertEquals(3_000, scheduler.policy.pools().stream().mapToInt(PoolState::workers).sum());
    }
}
