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

/** Which connection ends where there is no room for all. */
class MakeWayTest {
    private static final long QUIET_MS = 200;

    /** Needed from the first byte that it has read on. */
    private static final class Answering extends EventLoopConnection {
        private final CountDownLatch up = new CountDownLatch(1);
        private volatile boolean asked;

        Answering(EndPoint endPoint, EventLoop loop) {
            super(endPoint, loop);
        }

        @Override
        protected void opened() {
            up.countDown();
        }

        @Override
        protected void received(ByteBuffer bytes) {
            asked = true;
            bytes.position(bytes.limit());
        }

        @Override
        protected void lost() {}
    }

    private static Answering connect(ConnectionManager links, EventLoop loop, ServerSocket server)
            throws InterruptedException {
        Answering[] made = new Answering[1];
        links.connect(
                (InetSocketAddress) server.getLocalSocketAddress(),
                endPoint -> made[0] = new Answering(endPoint, loop));
        Program.await("it is made", () -> made[0] != null);
        assertTrue(made[0].up.await(5, TimeUnit.SECONDS));
        return made[0];
    }

    /** The request is there before the newcomer is let in, and the loop has not come to read it. */
    @Test
    void whoHasAskedAndWasNotReadYetDoesNotMakeWay() throws Exception {
        EventLoop loop = new EventLoop();
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
            ConnectionManager links = ConnectionManager.start(loop, 1_000);
            ConnectionLimiter<Answering> room =
                    new ConnectionLimiter<>(
                            1, 8, link -> !link.asked, Comparator.comparingInt(link -> 0));
            Answering first = connect(links, loop, server);
            Socket peer = server.accept();
            Answering second = connect(links, loop, server);
            CountDownLatch done = new CountDownLatch(1);
            loop.execute(
                    () -> {
                        room.opened(first);
                        try {
                            peer.getOutputStream().write('Q');
                            Thread.sleep(QUIET_MS);
                        } catch (Exception e) {
                            throw new IllegalStateException(e);
                        }
                        room.opened(second);
                        done.countDown();
                    });
            assertTrue(done.await(5, TimeUnit.SECONDS));
            Program.await("what was asked is read", () -> first.asked);
            assertFalse(first.isLingering() || first.isClosed(), "it has asked and is not ended");
            assertTrue(
                    second.isLingering() || second.isClosed(),
                    "the newcomer goes, since the other is needed");
            peer.close();
        } finally {
            loop.stop();
        }
    }
}
