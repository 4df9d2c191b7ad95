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

/** The completion of a write is known before any later event of its connection. */
class WriteCompletionOrderTest {
    /** More than the system takes at once, and below the high watermark. */
    private static final int MESSAGE_BYTES = 200_000;

    private static final int QUIET_MS = 400;

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
     * The peer sends a byte while the message is being written, reads as much of it as comes, and
     * resets the connection; all of that while the loop is blocked, so that it finds all events at
     * once. If writes completed on another thread, the peer would have every byte by then, and the
     * reset would be read before the loop learns of the completion.
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
                Thread.sleep(QUIET_MS);
                received = readAll(peer);
                peer.setSoLinger(true, 0);
            }
            Thread.sleep(QUIET_MS);
            release.countDown();
            Program.await("the reset is reported", () -> writtenWhenLost.get() != null);
            assertEquals(
                    received == MESSAGE_BYTES,
                    writtenWhenLost.get(),
                    "the peer has " + received + " of " + MESSAGE_BYTES + " bytes");
        } finally {
            loop.stop();
        }
    }

    /** Reads until nothing more comes; returns the number of bytes. */
    private static int readAll(Socket peer) throws Exception {
        peer.setSoTimeout(QUIET_MS);
        InputStream in = peer.getInputStream();
        byte[] buffer = new byte[64 * 1024];
        int received = 0;
        try {
            while (received < MESSAGE_BYTES) {
                received += Math.max(0, in.read(buffer));
            }
        } catch (SocketTimeoutException e) {
            return received; // the rest does not come
        }
        return received;
    }
}
