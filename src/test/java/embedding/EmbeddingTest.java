package embedding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.SchedulingPolicy;
import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Limits;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.LoadReporting;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Uses the scheduling policy as another program embeds it: through its public API only. */
class EmbeddingTest {
    private static final Settings SETTINGS =
            new Settings(
                    1,
                    0,
                    0,
                    1,
                    1,
                    List.of(
                            new JobClass(
                                    200_000,
                                    2,
                                    1,
                                    Idempotency.IDEMPOTENT,
                                    IdempotencyScope.ALL_WORKERS,
                                    0,
                                    -1)),
                    List.of(),
                    new Limits(3, true, false, 0, 0.1),
                    new Guarantees(10_000, 500_000, 0, 0.3, 8_000_000, 3, 2_000_000),
                    LoadReporting.WITH_RESPONSES,
                    false,
                    false,
                    1_000);

    private static List<Send> handleAndGetSends(SchedulingPolicy policy, long now, Event event) {
        List<Action> actions = new ArrayList<>();
        policy.handle(now, event, actions);
        return actions.stream().filter(Send.class::isInstance).map(Send.class::cast).toList();
    }

    private static WorkerListUpdate listUpdate(
            WorkerListChange change, String id, WorkerStatus status) {
        return new WorkerListUpdate(
                change, List.of(new WorkerEntry(id, 0, 0, 0, status, Long.MIN_VALUE)));
    }

    @Test
    void runsAJobDrainsAWorkerAndRestarts() {
        SchedulingPolicy policy = new SchedulingPolicy(SETTINGS, 42);
        assertTrue(
                handleAndGetSends(
                                policy,
                                0,
                                listUpdate(WorkerListChange.CACHED, "a", WorkerStatus.RUNNING))
                        .isEmpty());
        handleAndGetSends(
                policy, 1_000, listUpdate(WorkerListChange.CHANGES, "b", WorkerStatus.RUNNING));
        List<Send> sent =
                handleAndGetSends(
                        policy, 2_000, new JobArrived("job-1", 0, 0, null, 5_000_000, 1, 0));
        assertEquals("job-1", sent.get(0).job());
        LoadReport report = new LoadReport(4, Double.NaN, Double.NaN);
        handleAndGetSends(
                policy, 90_000, new AttemptEnded("job-1", 0, AttemptOutcome.SERVED, true, report));

        handleAndGetSends(
                policy, 100_000, listUpdate(WorkerListChange.CHANGES, "a", WorkerStatus.DRAINING));
        sent =
                handleAndGetSends(
                        policy, 110_000, new JobArrived("job-2", 0, 0, null, 5_000_000, 1, 0));
        assertEquals("b", sent.get(0).worker());

        SchedulingPolicy restarted = new SchedulingPolicy(SETTINGS, 43);
        handleAndGetSends(
                restarted, 200_000, listUpdate(WorkerListChange.CACHED, "b", WorkerStatus.RUNNING));
        sent =
                handleAndGetSends(
                        restarted, 210_000, new JobArrived("job-3", 0, 0, null, 5_000_000, 1, 0));
        assertEquals("b", sent.get(0).worker());
    }
}
