package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.EventLoop;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.ListeningPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When the shutdown ends; the connections are fakes. */
class FaktoryShutdownTest {
    /** Longer than connections are accepted, and shorter than replies are waited for. */
    private static final long SHORT_MS = 800;

    private static final long LONG_MS = 5_000;
    private static final long SHORT_DEADLINE_US = 500_000;
    private static final long LONG_DEADLINE_US = 30_000_000;

    private final EventLoop loop = new EventLoop();
    private final LifecyclePhase phase = new LifecyclePhase();
    private ListeningPort port;
    private volatile boolean hasAwaitedJobs;
    private volatile boolean areConnectionsOpen = true;
    private volatile boolean isClosing;

    private final FaktoryShutdown.Connections connections =
            new FaktoryShutdown.Connections() {
                @Override
                public void closeOnceIdle() {
                    isClosing = true;
                }

                @Override
                public boolean isEmpty() {
                    return !areConnectionsOpen;
                }
            };

    @BeforeEach
    void listen() throws IOException {
        port =
                ConnectionManager.start(loop, SHORT_MS)
                        .listen(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                new ConnectionManager.ConnectionAcceptor() {
                                    @Override
                                    public boolean admit() {
                                        return false;
                                    }

                                    @Override
                                    public void admissionFailed() {}

                                    @Override
                                    public EventLoopConnection open(EndPoint endPoint) {
                                        throw new AssertionError("nothing is admitted");
                                    }
                                });
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    private void begin(long longestDeadlineUs) {
        phase.advanceTo(State.SERVING);
        FaktoryShutdown shutdown =
                new FaktoryShutdown(
                        loop, phase, longestDeadlineUs, () -> hasAwaitedJobs, connections, port);
        loop.execute(shutdown::begin);
    }

    @Test
    void endsOnceConnectionsAreClosed() throws Exception {
        begin(SHORT_DEADLINE_US);
        assertFalse(phase.await(State.ENDED, SHORT_MS), "a connection is open");
        assertTrue(isClosing);
        areConnectionsOpen = false;
        assertTrue(phase.await(State.ENDED, LONG_MS));
    }

    @Test
    void closesConnectionsOnceAwaitedJobsHaveEnded() throws Exception {
        hasAwaitedJobs = true;
        areConnectionsOpen = false;
        begin(LONG_DEADLINE_US);
        assertTrue(phase.await(State.FINISHING, LONG_MS));
        assertFalse(isClosing, "a job is open");
        hasAwaitedJobs = false;
        assertTrue(phase.await(State.ENDED, LONG_MS));
        assertTrue(isClosing);
    }

    @Test
    void endsThoughJobsAndConnectionsStayOpen() throws Exception {
        hasAwaitedJobs = true;
        begin(SHORT_DEADLINE_US);
        assertTrue(phase.await(State.ENDED, LONG_MS));
        assertTrue(isClosing, "what could be replied was replied");
    }
}
