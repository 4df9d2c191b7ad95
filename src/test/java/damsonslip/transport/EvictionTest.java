package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.EventLoop;
import damsonslip.testkit.Program;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.Test;

/** The choice of the connection that is evicted above the limit. */
class EvictionTest {
    private static final long REQUEST_ARRIVAL_MS = 200;

    /** A connection that is not evictable once it has read a byte. */
    private static final class RequestConnection extends EventLoopConnection {
        private final CountDownLatch opened = new CountDownLatch(1);
        private volatile boolean requestRead;

        RequestConnection(EndPoint endPoint, EventLoop loop) {
            super(endPoint, loop);
        }

        @Override
        protected void opened() {
            opened.countDown();
        }

        @Override
        protected void received(ByteBuffer bytes) {
            requestRead = true;
            bytes.position(bytes.limit());
        }

        @Override
        protected void connectionLost() {}
    }

    private static RequestConnection connect(
            ConnectionManager manager, EventLoop loop, ServerSocket server)
            throws InterruptedException {
        RequestConnection[] created = new RequestConnection[1];
        manager.connect(
                (InetSocketAddress) server.getLocalSocketAddress(),
                endPoint -> created[0] = new RequestConnection(endPoint, loop));
        Program.await("the connection is created", () -> created[0] != null);
        assertTrue(created[0].opened.await(5, TimeUnit.SECONDS));
        return created[0];
    }

    /** A request has arrived before the second connection opens, but has not been read yet. */
    @Test
    void doesNotEvictConnectionWithUnreadRequest() throws Exception {
        EventLoop loop = new EventLoop();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            ConnectionManager manager = ConnectionManager.start(loop, 1_000);
            ConnectionLimiter<RequestConnection> limiter =
                    new ConnectionLimiter<>(
                            1,
                            8,
                            connection -> !connection.requestRead,
                            Comparator.comparingInt(connection -> 0));
            RequestConnection first = connect(manager, loop, server);
            Socket peer = server.accept();
            RequestConnection second = connect(manager, loop, server);
            CountDownLatch done = new CountDownLatch(1);
            loop.execute(
                    () -> {
                        limiter.connectionOpened(first);
                        try {
                            peer.getOutputStream().write('Q');
                            Thread.sleep(REQUEST_ARRIVAL_MS);
                        } catch (Exception e) {
                            throw new IllegalStateException(e);
                        }
                        limiter.connectionOpened(second);
                        done.countDown();
                    });
            assertTrue(done.await(5, TimeUnit.SECONDS));
            Program.await("the request is read", () -> first.requestRead);
            assertFalse(
                    first.isLingering() || first.isClosed(),
                    "a connection with a request must stay open");
            assertTrue(
                    second.isLingering() || second.isClosed(),
                    "the new connection must be evicted, since the other one has a request");
            peer.close();
        } finally {
            loop.stop();
        }
    }
}
