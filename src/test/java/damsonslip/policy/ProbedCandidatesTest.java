package damsonslip.policy;

import static damsonslip.policy.Script.SECOND;
import static damsonslip.policy.Script.jobClass;
import static damsonslip.policy.Script.only;
import static damsonslip.policy.Script.sentTo;
import static damsonslip.policy.Script.worker;
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
 * Where only probes tell of loads, a job asks some workers before it goes to one: older reports are
 * of little use.
 */
class ProbedCandidatesTest {
    private static final int WORKERS = 8;
    private static final int CANDIDATES = 4;
    private static final long LOOK_US = 40_000;

    private final Script script =
            new Script(
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
    private final List<String> asked = new ArrayList<>();
    private List<Action> first;

    @BeforeEach
    void aJobComes() {
        script.list(
                WorkerListChange.KEPT,
                IntStream.range(0, WORKERS)
                        .mapToObj(i -> worker("w" + i))
                        .toArray(WorkerEntry[]::new));
        first = script.job("j1");
        only(first, ProbeWorker.class).forEach(probe -> asked.add(probe.worker()));
    }

    private List<Action> reports(String worker, double free) {
        return script.give(
                new ProbeEnded(
                        worker, ProbeResult.HEALTHY, new LoadReport(free, Double.NaN, Double.NaN)));
    }

    @Test
    void asksSomeWorkersAndSendsToTheOneWithMostRoom() {
        assertEquals(CANDIDATES, asked.size());
        assertNull(sentTo(first, "j1"));
        assertNull(sentTo(reports(asked.get(0), 0), "j1"));
        assertNull(sentTo(reports(asked.get(1), 3), "j1"));
        assertNull(sentTo(reports(asked.get(2), 1), "j1"));
        assertEquals(asked.get(1), sentTo(reports(asked.get(3), 0), "j1"));
    }

    @Test
    void waitsNoLongerThanALookTakes() {
        reports(asked.get(2), 2);
        assertEquals(asked.get(2), sentTo(script.pass(2 * LOOK_US), "j1"));
    }

    @Test
    void isSentThoughNobodyAnswers() {
        assertNotNull(sentTo(script.pass(2 * LOOK_US), "j1"));
    }

    /** A report that has just come is as good as the answer to a probe. */
    @Test
    void asksNobodyWhoHasJustReported() {
        asked.forEach(worker -> reports(worker, 4));
        List<Action> second = script.job("j2");
        assertTrue(
                only(second, ProbeWorker.class).stream()
                        .noneMatch(probe -> asked.contains(probe.worker())));
    }
}
