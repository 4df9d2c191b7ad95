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
    /** How many bytes answer each byte that is read. */
    private static final int FACTOR = 100;

    private static final int REQUEST_BYTES = 200_000;
    private static final int HIGH_WATERMARK = 256 * 1024;
    private static final int READ_BUFFER = 8 * 1024;
    private static final long QUIET_MS = 300;
    private final AtomicLong maxBacklog = new AtomicLong();

    private final class Amplifier extends EventLoopConnection {
        Amplifier(EndPoint endPoint, EventLoop loop) {
            super(endPoint, loop);
        }

        @Override
        protected void opened() {}

        @Override
        protected void received(ByteBuffer bytes) {
            write(() -> {}, ByteBuffer.allocate(bytes.remaining() * FACTOR));
            bytes.position(bytes.limit());
            maxBacklog.accumulateAndGet(backlogBytes(), Math::max);
        }

        @Override
        protected void connectionLost() {}
    }

    private final class AmplifierAcceptor implements ConnectionManager.ConnectionAcceptor {
        private final EventLoop loop;

        AmplifierAcceptor(EventLoop loop) {
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
            return new Amplifier(endPoint, loop);
        }
    }

    @Test
    void pausesReadingFromPeerThatReadsNothing() throws Exception {
        EventLoop loop = new EventLoop();
        int port = Program.freePort();
        InetAddress local = InetAddress.getLoopbackAddress();
        Closeable listener =
                ConnectionManager.start(loop, 1_000)
                        .listen(new InetSocketAddress(local, port), new AmplifierAcceptor(loop));
        try (listener;
                Socket peer = new Socket(local, port)) {
            Thread sender = startSending(peer);
            Program.await("answers are queued", () -> maxBacklog.get() > 0);
            Thread.sleep(QUIET_MS);
            assertTrue(
                    maxBacklog.get() <= HIGH_WATERMARK + READ_BUFFER * FACTOR,
                    maxBacklog.get() + " bytes are queued for one peer");
            assertEquals((long) REQUEST_BYTES * FACTOR, readAnswers(peer));
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

    /** Reads until all answers have come; returns the number of bytes. */
    private static long readAnswers(Socket peer) throws IOException {
        byte[] buffer = new byte[64 * 1024];
        long received = 0;
        while (received < (long) REQUEST_BYTES * FACTOR) {
            int next = peer.getInputStream().read(buffer);
            assertTrue(next > 0, "ended after " + received);
            received += next;
        }
        return received;
    }
}
