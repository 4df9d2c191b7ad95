package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.Counters.Count;
import damsonslip.engine.Response.Kind;
import damsonslip.policy.api.AttemptOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SchedulerEngineTest {
    private static final long DEADLINE_US = TimeUnit.MINUTES.toMicros(10);

    private final EventLoop loop = new EventLoop();
    private final Counters counters = new Counters();
    private final SchedulerEngine engine =
            new SchedulerEngine(EngineFixtures.settingsWithoutCancel(), 1, loop, counters);
    private final List<Attempt> sent = new ArrayList<>();
    private final List<Response> responses = new ArrayList<>();

    /** Keeps the attempts it is given, as a worker that never answers. */
    private final WorkerGateway gateway =
            new WorkerGateway() {
                @Override
                public void send(Attempt attempt) {
                    sent.add(attempt);
                }

                @Override
                public void cancel(Attempt attempt) {}

                @Override
                public boolean withdrawUnsent(Attempt attempt) {
                    return true;
                }

                @Override
                public void probe(String worker, long connectedBeforeUs) {}

                @Override
                public void watchWorkerList() {}
            };

    @AfterEach
    void stopLoop() {
        loop.stop();
    }

    private void onLoop(Runnable step) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(
                () -> {
                    try {
                        step.run();
                        done.complete(null);
                    } catch (RuntimeException | AssertionError e) {
                        done.completeExceptionally(e);
                    }
                });
        done.get(10, TimeUnit.SECONDS);
    }

    private void startWithOneWorker() {
        engine.start(gateway, List.of(EngineFixtures.warmWorker("a")));
    }

    private RequestContext submit(String id) {
        return engine.submit(
                EngineFixtures.request(id, loop.nowUs() + DEADLINE_US), responses::add);
    }

    @Test
    void answersWithTheResultOfTheWorker() throws Exception {
        onLoop(
                () -> {
                    startWithOneWorker();
                    submit("q");
                    assertEquals(1, sent.size());
                    assertTrue(engine.isIdInUse("q"));
                    engine.attemptStarted(sent.get(0));
                    engine.attemptEnded(
                            sent.get(0),
                            new Attempt.Completion(AttemptOutcome.SERVED, null, "result"));
                    assertEquals(List.of(Response.served("result")), responses);
                    assertEquals(1, engine.responseCount(0, Kind.SERVED));
                    assertEquals(0, engine.openRequestCount());
                    assertFalse(engine.isIdInUse("q"));
                });
    }

    @Test
    void countsTheFirstEndOfAnAttemptOnly() throws Exception {
        onLoop(
                () -> {
                    startWithOneWorker();
                    submit("q");
                    Attempt attempt = sent.get(0);
                    engine.attemptEnded(
                            attempt, new Attempt.Completion(AttemptOutcome.SERVED, null, "result"));
                    engine.attemptEnded(attempt, Attempt.Completion.of(AttemptOutcome.RESET));
                    assertEquals(1, counters.get(Count.EXECUTIONS_SERVED));
                    assertEquals(0, counters.get(Count.EXECUTIONS_RESET));
                    assertEquals(1, responses.size());
                });
    }

    @Test
    void withdrawsUnsentAttemptsWhenTheClientDisconnects() throws Exception {
        onLoop(
                () -> {
                    startWithOneWorker();
                    RequestContext context = submit("q");
                    engine.clientDisconnected(context);
                    engine.clientDisconnected(context);
                    assertFalse(sent.get(0).isOpen());
                    assertEquals(List.of(), responses);
                    assertEquals(1, counters.get(Count.QUERIES_GONE));
                    assertEquals(1, counters.get(Count.EXECUTIONS_NEVER_SENT));
                    assertEquals(0, engine.openRequestCount());
                    assertFalse(engine.isIdInUse("q"));
                });
    }

    @Test
    void answersAllOpenRequestsAtOnce() throws Exception {
        onLoop(
                () -> {
                    startWithOneWorker();
                    submit("q");
                    engine.answerAllOpen();
                    assertEquals(1, responses.size());
                    assertEquals(Kind.FAILED, responses.get(0).kind());
                    assertEquals(0, engine.openRequestCount());
                });
    }

    @Test
    void disablesKnownWorkersOnly() throws Exception {
        onLoop(
                () -> {
                    startWithOneWorker();
                    assertFalse(engine.disableWorker("unknown"));
                    assertTrue(engine.disableWorker("a"));
                    assertTrue(engine.isDisabled("a"));
                    assertTrue(engine.enableWorker("a"));
                    assertFalse(engine.isDisabled("a"));
                });
    }

    @Test
    void hasNoWorkerListBeforeItStarts() throws Exception {
        assertFalse(engine.isStarted());
        onLoop(this::startWithOneWorker);
        assertTrue(engine.isStarted());
    }
}
