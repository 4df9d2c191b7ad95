package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import damsonslip.engine.Counters.Count;
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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** An action of the decisions that a front fails to carry out. */
class FailingActionTest {
    private static final long DEADLINE_US = 300_000;
    private static final WorkerGateway FAILING =
            new WorkerGateway() {
                @Override
                public void start(Attempt execution) {
                    throw new IllegalStateException("a fault of the front");
                }

                @Override
                public void cancel(Attempt execution) {}

                @Override
                public void probe(String worker, long connectedByUs) {}

                @Override
                public void watch() {}
            };

    private static Settings settings() {
        JobClass once =
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
                List.of(once),
                List.of(),
                new Limits(3, true, false, 0, 0),
                new Guarantees(50_000, 500_000, 10_000_000, 1, 0, 1, 1_000_000),
                LoadReporting.WITH_RESPONSES,
                false,
                true,
                1_000);
    }

    /** Its request is answered at its time all the same, and the caller goes on. */
    @Test
    void leavesItsRequestWithAnAnswer() throws Exception {
        EventLoop loop = new EventLoop();
        Counters counters = new Counters();
        SchedulerEngine driver = new SchedulerEngine(settings(), 1, loop, counters);
        CompletableFuture<Response> answered = new CompletableFuture<>();
        CompletableFuture<RequestContext> taken = new CompletableFuture<>();
        loop.execute(
                () -> {
                    driver.begin(
                            FAILING,
                            List.of(
                                    new WorkerEntry(
                                            "a", 0, 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE)));
                    long endsUs = loop.now() + DEADLINE_US;
                    taken.complete(
                            driver.take(
                                    new Request(
                                            "q",
                                            0,
                                            0,
                                            endsUs,
                                            endsUs,
                                            1,
                                            0,
                                            null,
                                            Integer.MAX_VALUE,
                                            null,
                                            null),
                                    answered::complete));
                });
        assertNotNull(taken.get(5, TimeUnit.SECONDS), "the call returns");
        assertEquals(Response.Kind.FAILED, answered.get(5, TimeUnit.SECONDS).kind());
        assertEquals(1, counters.get(Count.ACTIONS_FAILED));
        loop.stop();
    }
}
