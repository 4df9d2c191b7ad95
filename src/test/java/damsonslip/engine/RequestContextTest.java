package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.invariants.RetryGuard.WorkerLocation;
import damsonslip.policy.api.AttemptOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestContextTest {
    private static final long DEADLINE_US = 1_000_000;

    private final List<Response> observed = new ArrayList<>();
    private final List<Response> responses = new ArrayList<>();
    private final RequestContext context =
            new RequestContext(
                    request(null), responses::add, (answered, response) -> observed.add(response));

    private static Request request(Request.Payload payload) {
        return new Request(
                "q", 0, 0, DEADLINE_US, DEADLINE_US, 1, 0, null, Integer.MAX_VALUE, null, payload);
    }

    private Attempt attempt() {
        Attempt attempt = new Attempt(context, new WorkerLocation("a", 0, 0), 1_000, DEADLINE_US);
        context.add(attempt);
        attempt.startTimeout(() -> {});
        return attempt;
    }

    @Test
    void givesExactlyOneResponse() {
        assertEquals(RequestContext.State.OPEN, context.state());
        assertTrue(context.answer(Response.failed(false)));
        assertFalse(context.answer(Response.served("late")));
        assertEquals(RequestContext.State.ANSWERED, context.state());
        assertEquals(List.of(Response.failed(false)), responses);
        assertEquals(responses, observed);
    }

    @Test
    void givesNoResponseAfterDisconnect() {
        assertTrue(context.abandon());
        assertFalse(context.answer(Response.served("late")));
        assertFalse(context.abandon());
        assertEquals(RequestContext.State.ABANDONED, context.state());
        assertEquals(List.of(), responses);
    }

    @Test
    void keepsItsResponseWhenTheClientDisconnectsLater() {
        assertTrue(context.answer(Response.failed(true)));
        assertFalse(context.abandon());
        assertEquals(RequestContext.State.ANSWERED, context.state());
    }

    /** Attempts of a closed request may be open for long; its content is not needed any more. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void releasesPayloadOnceClosed(boolean answered) {
        AtomicInteger releases = new AtomicInteger();
        RequestContext closing =
                new RequestContext(
                        request(payload(releases)), responses::add, (context, response) -> {});
        assertEquals(0, releases.get());
        assertTrue(answered ? closing.answer(Response.failed(false)) : closing.abandon());
        assertEquals(1, releases.get());
    }

    /** A timer that outlives its request holds its memory for up to the class's limit. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void cancelsTimersOnceClosed(boolean answered) throws Exception {
        EventLoop loop = new EventLoop();
        long inOneHourUs = loop.nowUs() + TimeUnit.HOURS.toMicros(1);
        context.schedule(loop, inOneHourUs, () -> {});
        assertEquals(1, loop.executor().getQueue().size());
        assertTrue(answered ? context.answer(Response.failed(false)) : context.abandon());
        assertEquals(0, loop.executor().getQueue().size());
        context.schedule(loop, inOneHourUs, () -> {});
        assertEquals(0, loop.executor().getQueue().size());
        loop.stop();
    }

    @Test
    void runsTimerOfOpenRequest() throws Exception {
        EventLoop loop = new EventLoop();
        CountDownLatch due = new CountDownLatch(1);
        context.schedule(loop, loop.nowUs(), due::countDown);
        assertTrue(due.await(10, TimeUnit.SECONDS));
        loop.stop();
    }

    private static Request.Payload payload(AtomicInteger releases) {
        return new Request.Payload() {
            @Override
            public void release() {
                releases.incrementAndGet();
            }
        };
    }

    @Test
    void isFinishedOnceClosedWithoutOpenAttempt() {
        attempt();
        assertFalse(context.isFinished());
        context.answer(Response.failed(false));
        assertFalse(context.isFinished());
        context.attemptEnded();
        assertTrue(context.isFinished());
    }

    @Test
    void endsAttemptOnceOnly() {
        Attempt attempt = attempt();
        assertTrue(attempt.markRunning());
        assertTrue(attempt.markRunning(), "a worker may report a start twice");
        assertEquals(Attempt.State.RUNNING, attempt.state());
        assertTrue(attempt.end(AttemptOutcome.RESET));
        assertFalse(attempt.end(AttemptOutcome.SERVED));
        assertFalse(attempt.markRunning());
        assertEquals(Attempt.State.ENDED, attempt.state());
        assertFalse(attempt.asEarlierAttempt().provenNotRun());
    }

    @Test
    void provesThatAnUnsentAttemptWasNotExecuted() {
        Attempt attempt = attempt();
        assertTrue(attempt.asEarlierAttempt().isOpen());
        assertTrue(attempt.end(AttemptOutcome.NEVER_SENT));
        assertFalse(attempt.asEarlierAttempt().isOpen());
        assertTrue(attempt.asEarlierAttempt().provenNotRun());
    }

    @Test
    void startsNoAttemptAfterTheRetryWindow() {
        context.limitRetriesUntil(5_000);
        context.limitRetriesUntil(9_000);
        Attempt attempt = attempt();
        assertTrue(attempt.mayBeWritten(4_999));
        assertFalse(attempt.mayBeWritten(5_000));
        context.abandon();
        assertFalse(attempt.mayBeWritten(4_999));
    }
}
