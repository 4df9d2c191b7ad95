package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import damsonslip.engine.Counters.Count;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ActionExecutorTest {
    private static final long DEADLINE_US = 300_000;

    /** A gateway that fails to send. */
    private static final WorkerGateway FAILING_GATEWAY =
            new WorkerGateway() {
                @Override
                public void send(Attempt attempt) {
                    throw new IllegalStateException("a fault of the front");
                }

                @Override
                public void cancel(Attempt attempt) {}

                @Override
                public void probe(String worker, long connectedBeforeUs) {}

                @Override
                public void watchWorkerList() {}
            };

    @Test
    void answersTheRequestAtItsDeadlineWhenSendingFails() throws Exception {
        EventLoop loop = new EventLoop();
        Counters counters = new Counters();
        SchedulerEngine engine = new SchedulerEngine(EngineFixtures.settings(), 1, loop, counters);
        CompletableFuture<Response> answered = new CompletableFuture<>();
        CompletableFuture<RequestContext> accepted = new CompletableFuture<>();
        loop.execute(
                () -> {
                    engine.start(FAILING_GATEWAY, List.of(EngineFixtures.warmWorker("a")));
                    Request request = EngineFixtures.request("q", loop.nowUs() + DEADLINE_US);
                    accepted.complete(engine.submit(request, answered::complete));
                });
        assertNotNull(accepted.get(5, TimeUnit.SECONDS), "the call returns");
        assertEquals(Response.Kind.FAILED, answered.get(5, TimeUnit.SECONDS).kind());
        assertEquals(1, counters.get(Count.ACTIONS_FAILED));
        loop.stop();
    }
}
