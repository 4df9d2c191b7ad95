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

class ActionExecutorTest {
    private static final long DEADLINE_US = 300_000;
    private static final WorkerEntry WORKER =
            new WorkerEntry("a", 0, 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE);

    /** A gateway that fails to send. */
    private static final WorkerGateway FAILING_GATEWAY =
            new WorkerGateway() {
                @Override
                public void start(Attempt attempt) {
                    throw new IllegalStateException("a fault of the front");
                }

                @Override
                public void cancel(Attempt attempt) {}

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

    private static Request request(long deadlineUs) {
        return new Request(
                "q", 0, 0, deadlineUs, deadlineUs, 1, 0, null, Integer.MAX_VALUE, null, null);
    }

    @Test
    void answersTheRequestAtItsDeadlineWhenSendingFails() throws Exception {
        EventLoop loop = new EventLoop();
        Counters counters = new Counters();
        SchedulerEngine engine = new SchedulerEngine(settings(), 1, loop, counters);
        CompletableFuture<Response> answered = new CompletableFuture<>();
        CompletableFuture<RequestContext> accepted = new CompletableFuture<>();
        loop.execute(
                () -> {
                    engine.begin(FAILING_GATEWAY, List.of(WORKER));
                    Request request = request(loop.now() + DEADLINE_US);
                    accepted.complete(engine.take(request, answered::complete));
                });
        assertNotNull(accepted.get(5, TimeUnit.SECONDS), "the call returns");
        assertEquals(Response.Kind.FAILED, answered.get(5, TimeUnit.SECONDS).kind());
        assertEquals(1, counters.get(Count.ACTIONS_FAILED));
        loop.stop();
    }
}
