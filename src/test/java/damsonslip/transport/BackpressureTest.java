package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.EventLoop;
import damsonslip.testkit.Program;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.Test;

/** Above the high watermark nothing is read from a peer, and no byte is lost. */
class BackpressureTest {
    /** The number of response bytes for each byte that is read. */
    private static final int AMPLIFICATION = 100;

    private static final int REQUEST_BYTES = 200_000;
    private static final int HIGH_WATERMARK = 256 * 1024;
    private static final int READ_BUFFER = 8 * 1024;
    private static final long SETTLE_MS = 300;
    private final AtomicLong maxBacklog = new AtomicLong();

    private final class AmplifyingConnection extends EventLoopConnection {
        AmplifyingConnection(EndPoint endPoint, EventLoop loop) {
            super(endPoint, loop);
        }

        @Override
        protected void opened() {}

        @Override
        protected void received(ByteBuffer bytes) {
            write(() -> {}, ByteBuffer.allocate(bytes.remaining() * AMPLIFICATION));
            bytes.position(bytes.limit());
            maxBacklog.accumulateAndGet(backlogBytes(), Math::max);
        }

        @Override
        protected void connectionLost() {}
    }

    private final class AmplifyingAcceptor implements ConnectionManager.ConnectionAcceptor {
        private final EventLoop loop;

        AmplifyingAcceptor(EventLoop loop) {
            this.loop = loop;
        }

        @Override
        public boolean admit() {
            return true;
        }

        @Override
        public void admissionFailed() {}

        @Override
        public EventLoopConnection open(EndPoint endPoint) {
            return new AmplifyingConnection(endPoint, loop);
        }
    }

    @Test
    void pausesReadingFromPeerThatReadsNothing() throws Exception {
        EventLoop loop = new EventLoop();
        int port = Program.freePort();
        InetAddress local = InetAddress.getLoopbackAddress();
        Closeable listener =
                ConnectionManager.start(loop, 1_000)
                        .listen(new InetSocketAddress(local, port), new AmplifyingAcceptor(loop));
        try (listener;
                Socket peer = new Socket(local, port)) {
            Thread sender = startSending(peer);
            Program.await("responses are queued", () -> maxBacklog.get() > 0);
            Thread.sleep(SETTLE_MS);
            assertTrue(
                    maxBacklog.get() <= HIGH_WATERMARK + READ_BUFFER * AMPLIFICATION,
                    maxBacklog.get() + " bytes are queued for one peer");
            assertEquals((long) REQUEST_BYTES * AMPLIFICATION, readResponses(peer));
            sender.join();
        } finally {
            loop.stop();
        }
    }

    private static Thread startSending(Socket peer) {
        Thread sender =
                new Thread(
                        () -> {
                            try {
                                peer.getOutputStream().write(new byte[REQUEST_BYTES]);
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
        sender.start();
        return sender;
    }

    /** Reads until all responses have arrived; returns the number of bytes. */
    private static long readResponses(Socket peer) throws IOException {
        byte[] buffer = new byte[64 * 1024];
        long received = 0;
        while (received < (long) REQUEST_BYTES * AMPLIFICATION) {
            int next = peer.getInputStream().read(buffer);
            assertTrue(next > 0, "the connection ended after " + received + " bytes");
            received += next;
        }
        return received;
    }
}
