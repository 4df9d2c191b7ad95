package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.LifecyclePhase.State;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {
    private static final long SHORT_US = 1_000;
    private static final long LONG_US = TimeUnit.MINUTES.toMicros(10);
    private static final long TIMEOUT_MILLIS = 5_000;

    private final EventLoop loop = new EventLoop();
    private final LifecyclePhase phase = new LifecyclePhase();
    private final AtomicBoolean hasSuccessor = new AtomicBoolean();
    private final AtomicBoolean isFinished = new AtomicBoolean();
    private final AtomicInteger listenersClosed = new AtomicInteger();

    @BeforeEach
    void serve() {
        phase.advanceTo(State.SERVING);
    }

    @AfterEach
    void stopLoop() {
        loop.stop();
    }

    private GracefulShutdown shutdown(long acceptUs, long finishUs) {
        return new GracefulShutdown(
                loop,
                phase,
                acceptUs,
                finishUs,
                hasSuccessor::get,
                listenersClosed::incrementAndGet,
                isFinished::get);
    }

    @Test
    void acceptsUntilASuccessorServes() throws Exception {
        GracefulShutdown shutdown = shutdown(LONG_US, LONG_US);
        loop.execute(shutdown::start);
        assertTrue(phase.await(State.LEAVING, TIMEOUT_MILLIS));
        assertEquals(0, listenersClosed.get());
        hasSuccessor.set(true);
        assertTrue(phase.await(State.FINISHING, TIMEOUT_MILLIS));
    }

    @Test
    void endsOnceNothingIsOpen() throws Exception {
        GracefulShutdown shutdown = shutdown(SHORT_US, LONG_US);
        loop.execute(shutdown::start);
        assertTrue(phase.await(State.FINISHING, TIMEOUT_MILLIS));
        isFinished.set(true);
        assertTrue(phase.await(State.ENDED, TIMEOUT_MILLIS));
        assertEquals(1, listenersClosed.get());
    }

    @Test
    void endsAtItsTimeLimitEvenIfRequestsAreOpen() throws Exception {
        GracefulShutdown shutdown = shutdown(SHORT_US, SHORT_US);
        loop.execute(shutdown::start);
        loop.execute(shutdown::start);
        assertTrue(phase.await(State.ENDED, TIMEOUT_MILLIS));
        assertEquals(1, listenersClosed.get());
    }
}
