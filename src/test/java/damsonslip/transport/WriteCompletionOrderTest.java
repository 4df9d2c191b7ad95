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

/** The completion of a write is reported before any later event of its connection. */
class WriteCompletionOrderTest {
    /** More than the kernel takes at once, and below the high watermark. */
    private static final int MESSAGE_BYTES = 200_000;

    private static final int SETTLE_MS = 400;

    private final AtomicBoolean written = new AtomicBoolean();
    private final AtomicReference<Boolean> writtenWhenLost = new AtomicReference<>();
    private final CountDownLatch opened = new CountDownLatch(1);

    private final class Upload extends EventLoopConnection {
        Upload(EndPoint endPoint, EventLoop loop) {
            super(endPoint, loop);
        }

        @Override
        protected void opened() {
            write(() -> written.set(true), ByteBuffer.allocate(MESSAGE_BYTES));
            opened.countDown();
        }

        @Override
        protected void received(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        protected void connectionLost() {
            writtenWhenLost.set(written.get());
        }
    }

    /**
     * Guards against writes that complete on another thread than the event loop. While the message
     * is only partly written and the loop is blocked, the peer sends a byte, reads as much of the
     * message as it receives, and resets the connection, so that the loop finds all events at once.
     * With writes on another thread the peer would have received every byte by then, and the loop
     * would read the reset before the completion is reported to it.
     */
    @Test
    void reportsCompletedWriteBeforeReset() throws Exception {
        EventLoop loop = new EventLoop();
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(4 * 1024);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            ConnectionManager.start(loop, 1_000)
                    .connect(
                            (InetSocketAddress) server.getLocalSocketAddress(),
                            endPoint -> new Upload(endPoint, loop));
            CountDownLatch blocked = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            int received = 0;
            try (Socket peer = server.accept()) {
                assertTrue(opened.await(5, TimeUnit.SECONDS));
                loop.execute(
                        () -> {
                            blocked.countDown();
                            try {
                                release.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
                assertTrue(blocked.await(5, TimeUnit.SECONDS));
                peer.getOutputStream().write('H');
                Thread.sleep(SETTLE_MS);
                received = readAll(peer);
                peer.setSoLinger(true, 0);
            }
            Thread.sleep(SETTLE_MS);
            release.countDown();
            Program.await("the connection is reported lost", () -> writtenWhenLost.get() != null);
            assertEquals(
                    received == MESSAGE_BYTES,
                    writtenWhenLost.get(),
                    "the peer received " + received + " of " + MESSAGE_BYTES + " bytes");
        } finally {
            loop.stop();
        }
    }

    /** Reads until no more bytes arrive; returns their number. */
    private static int readAll(Socket peer) throws Exception {
        peer.setSoTimeout(SETTLE_MS);
        InputStream in = peer.getInputStream();
        byte[] buffer = new byte[64 * 1024];
        int received = 0;
        try {
            while (received < MESSAGE_BYTES) {
                received += Math.max(0, in.read(buffer));
            }
        } catch (SocketTimeoutException e) {
            return received; // the rest was not written
        }
        return received;
    }
}
