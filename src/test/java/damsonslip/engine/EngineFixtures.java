package damsonslip.engine;

import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Limits;
import damsonslip.policy.api.LoadReporting;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerStatus;
import java.util.List;

/** Settings, workers and requests for the tests of the engine. */
final class EngineFixtures {
    private EngineFixtures() {}

    /** One scheduler with one class of requests that are not idempotent; it may cancel attempts. */
    static Settings settings() {
        return settings(true);
    }

    /** The same for a scheduler that may not cancel attempts. */
    static Settings settingsWithoutCancel() {
        return settings(false);
    }

    private static Settings settings(boolean mayCancel) {
        JobClass nonIdempotent =
                new JobClass(
                        200_000,
                        2,
                        1,
                        Idempotency.NOT_IDEMPOTENT,
                        IdempotencyScope.ALL_WORKERS,
                        0,
                        -1);
        return new Settings(
                1,
                0,
                0,
                1,
                1,
                List.of(nonIdempotent),
                List.of(),
                new Limits(3, mayCancel, false, 0, 0),
                new Guarantees(50_000, 500_000, 10_000_000, 1, 0, 1, 1_000_000),
                LoadReporting.WITH_RESPONSES,
                false,
                true,
                1_000);
    }

    static WorkerEntry warmWorker(String id) {
        return new WorkerEntry(id, 0, 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE);
    }

    static Request request(String id, long deadlineUs) {
        return new Request(
                id, 0, 0, deadlineUs, deadlineUs, 1, 0, null, Integer.MAX_VALUE, null, null);
    }
}
