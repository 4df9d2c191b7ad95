package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.actionsOfType;
import static damsonslip.policy.ScriptedScheduler.jobClass;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.Limits;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.LoadReporting;
import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.ProbeWorker;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Probes some candidates before a job is sent, where only probes report load: older reports say
 * little about the current load.
 */
class CandidateProbingTest {
    private static final int WORKERS = 8;
    private static final int CANDIDATES = 4;
    private static final long WAIT_US = 40_000;

    private final ScriptedScheduler scheduler =
            new ScriptedScheduler(
                    new Settings(
                            100,
                            0,
                            0,
                            1,
                            1,
                            List.of(jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)),
                            List.of(),
                            new Limits(4, false, true, 0.002, 0.1),
                            new Guarantees(
                                    16_000, 500_000, 10 * SECOND, 0.25, 8 * SECOND, 3, 2 * SECOND),
                            LoadReporting.BY_PROBE,
                            false,
                            true,
                            4_000));
    private final List<String> probedWorkers = new ArrayList<>();
    private List<Action> firstActions;

    @BeforeEach
    void jobArrives() {
        scheduler.updateWorkerList(
                WorkerListChange.CACHED,
                IntStream.range(0, WORKERS)
                        .mapToObj(i -> worker("w" + i))
                        .toArray(WorkerEntry[]::new));
        firstActions = scheduler.jobArrives("j1");
        actionsOfType(firstActions, ProbeWorker.class)
                .forEach(probe -> probedWorkers.add(probe.worker()));
    }

    private List<Action> reportsFreeSlots(String worker, double free) {
        return scheduler.handle(
                new ProbeEnded(
                        worker, ProbeResult.HEALTHY, new LoadReport(free, Double.NaN, Double.NaN)));
    }

    @Test
    void probesCandidatesAndSendsToTheOneWithMostFreeSlots() {
        assertEquals(CANDIDATES, probedWorkers.size());
        assertNull(sentTo(firstActions, "j1"));
        assertNull(sentTo(reportsFreeSlots(probedWorkers.get(0), 0), "j1"));
        assertNull(sentTo(reportsFreeSlots(probedWorkers.get(1), 3), "j1"));
        assertNull(sentTo(reportsFreeSlots(probedWorkers.get(2), 1), "j1"));
        assertEquals(probedWorkers.get(1), sentTo(reportsFreeSlots(probedWorkers.get(3), 0), "j1"));
    }

    @Test
    void waitsForProbeResponsesForALimitedTimeOnly() {
        reportsFreeSlots(probedWorkers.get(2), 2);
        assertEquals(probedWorkers.get(2), sentTo(scheduler.advance(2 * WAIT_US), "j1"));
    }

    @Test
    void sendsJobThoughNoCandidateResponds() {
        assertNotNull(sentTo(scheduler.advance(2 * WAIT_US), "j1"));
    }

    /** A recent load report replaces a probe. */
    @Test
    void doesNotProbeWorkersThatHaveJustReported() {
        probedWorkers.forEach(worker -> reportsFreeSlots(worker, 4));
        List<Action> second = scheduler.jobArrives("j2");
        assertTrue(
                actionsOfType(second, ProbeWorker.class).stream()
                        .noneMatch(probe -> probedWorkers.contains(probe.worker())));
    }
}
