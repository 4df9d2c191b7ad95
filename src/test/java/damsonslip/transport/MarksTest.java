package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.EventLoop;
import damsonslip.testkit.Program;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.EndPoint;
import org.junit.jupiter.api.Test;

/** What waits to be written to a peer stops what is read from it, and no byte is lost by that. */
class MarksTest {
    /** Each byte that comes is answered with so many. */
    private static final int TIMES = 100;

    private static final int ASKED = 200_000;
    private final AtomicLong most = new AtomicLong();

    private final class Echo extends EventLoopConnection {
        Echo(EndPoint endPoint, EventLoop loop) {
            super(endPoint, loop);
        }

        @Override
        protected void opened() {}

        @Override
        protected void received(ByteBuffer bytes) {
            write(() -> {}, ByteBuffer.allocate(bytes.remaining() * TIMES));
            bytes.position(bytes.limit());
            most.accumulateAndGet(backlog(), Math::max);
        }

        @Override
        protected void lost() {}
    }

    @Test
    void aPeerThatReadsNothingIsNotReadFromAndLosesNothing() throws Exception {
        EventLoop loop = new EventLoop();
        int port = Program.freePort();
        ConnectionManager.ConnectionAcceptor taker =
                new ConnectionManager.ConnectionAcceptor() {
                    @Override
                    public boolean admit() {
                        return true;
                    }

                    @Override
                    public void turnedBack() {}

                    @Override
                    public EventLoopConnection open(EndPoint endPoint) {
                        return new Echo(endPoint, loop);
                    }
                };
        try (Closeable door =
                        ConnectionManager.start(loop, 1_000)
                                .listen(new InetSocketAddress("127.0.0.1", port), taker);
                Socket peer = new Socket("127.0.0.1", port)) {
            Thread asker =
                    new Thread(
                            () -> {
                                try {
                                    peer.getOutputStream().write(new byte[ASKED]);
                                } catch (IOException e) {
                                    throw new UncheckedIOException(e);
                                }
                            });
            asker.start();
            Program.await("answers wait", () -> most.get() > 0);
            Thread.sleep(300);
            assertTrue(
                    most.get() <= 256 * 1024 + 8 * 1024 * TIMES,
                    most.get() + " bytes wait for one peer");
            byte[] part = new byte[64 * 1024];
            long got = 0;
            while (got < (long) ASKED * TIMES) {
                int next = peer.getInputStream().read(part);
                assertTrue(next > 0, "ended after " + got);
                got += next;
            }
            assertEquals((long) ASKED * TIMES, got);
            asker.join();
        } finally {
            loop.stop();
        }
    }
}
