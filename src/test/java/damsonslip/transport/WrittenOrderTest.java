package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.EventLoop;
import damsonslip.testkit.Program;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.Test;

/**
 * Whether the last byte of a message has left is known before anything else that happens on its
 * connection.
 */
class WrittenOrderTest {
    /**
     * More than the system takes at once, and below the mark above which nothing is read from a
     * peer.
     */
    private static final int LARGE = 200_000;

    private static final int QUIET_MS = 400;

    private final AtomicBoolean written = new AtomicBoolean();
    private final AtomicReference<Boolean> knownAtLoss = new AtomicReference<>();
    private final CountDownLatch up = new CountDownLatch(1);

    private final class Upload extends EventLoopConnection {
        Upload(EndPoint endPoint, EventLoop loop) {
            super(endPoint, loop);
        }

        @Override
        protected void opened() {
            write(() -> written.set(true), ByteBuffer.allocate(LARGE));
            up.countDown();
        }

        @Override
        protected void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        protected void lost() {
            knownAtLoss.set(written.get());
        }
    }

    /**
     * The peer says something while the message is under way, takes as much of it as comes, and
     * resets; all of that while the loop is held up, so that whatever is told to it is found in one
     * heap. With writes finished elsewhere, the peer has every byte by then, and the reset is read
     * before the loop hears of that.
     */
    @Test
    void aResetBehindTheLastByteIsNotTakenForOneBeforeIt() throws Exception {
        EventLoop loop = new EventLoop();
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(4 * 1024);
            server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            ConnectionManager.start(loop, 1_000)
                    .connect(
                            (InetSocketAddress) server.getLocalSocketAddress(),
                            endPoint -> new Upload(endPoint, loop));
            CountDownLatch held = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            int got = 0;
            try (Socket peer = server.accept()) {
                assertTrue(up.await(5, TimeUnit.SECONDS));
                loop.execute(
                        () -> {
                            held.countDown();
                            try {
                                release.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
                assertTrue(held.await(5, TimeUnit.SECONDS));
                peer.getOutputStream().write('H');
                Thread.sleep(QUIET_MS);
                got = all(peer);
                peer.setSoLinger(true, 0);
            }
            Thread.sleep(QUIET_MS);
            release.countDown();
            Program.await("the reset is told", () -> knownAtLoss.get() != null);
            assertEquals(
                    got == LARGE,
                    knownAtLoss.get(),
                    "the peer has " + got + " of " + LARGE + " bytes");
        } finally {
            loop.stop();
        }
    }

    /** Reads what comes until nothing more does; gives how much that was. */
    private static int all(Socket peer) throws Exception {
        peer.setSoTimeout(QUIET_MS);
        InputStream in = peer.getInputStream();
        byte[] part = new byte[64 * 1024];
        int got = 0;
        try {
            while (got < LARGE) {
                got += Math.max(0, in.read(part));
            }
        } catch (SocketTimeoutException e) {
            return got; // the rest does not come
        }
        return got;
    }
}
