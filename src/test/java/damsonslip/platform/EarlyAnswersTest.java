package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers that arrive while their request is still being written. */
class EarlyAnswersTest extends PlatformStage {
    /** More than the system buffers for a worker that reads nothing. */
    private static final int BODY = 60 * 1024;

    /**
     * The worker rejects the request before reading it, and reads everything that arrives later. A
     * request that is retried elsewhere must not arrive here as well, and the connection must not
     * carry another request behind the rest of this one.
     */
    @ParameterizedTest
    @ValueSource(strings = {"503 No\r\nX-Unprocessed: 1", "500 No"})
    void stopsWritingRequestThatIsAnsweredEarly(String head) throws Exception {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReceiveBufferSize(4 * 1024);
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            CompletableFuture<Integer> bytesRead = new CompletableFuture<>();
            CountDownLatch dialled = new CountDownLatch(1);
            CountDownLatch otherListed = new CountDownLatch(1);
            Thread early =
                    new Thread(
                            () -> {
                                try (Socket peer = socket.accept()) {
                                    dialled.countDown();
                                    otherListed.await();
                                    peer.getOutputStream()
                                            .write(
                                                    ("HTTP/1.1 "
                                                                    + head
                                                                    + "\r\n"
                                                                    + "Content-Length: 0\r\n\r\n")
                                                            .getBytes(StandardCharsets.US_ASCII));
                                    Thread.sleep(
                                            500); // longer than any other request waits for this
                                    // connection
                                    bytesRead.complete(countBytes(peer.getInputStream()));
                                } catch (IOException | InterruptedException e) {
                                    bytesRead.completeExceptionally(e);
                                }
                            });
            early.start();
            startWithConsole(entry("a", socket.getLocalPort(), "ready"));
            Program.await("the first update has arrived", () -> counts("list_updates", 1), program);
            String text =
                    requestText("q1", "submit", "3000m")
                            .replace(
                                    "Content-Length: 4\r\n\r\nbody",
                                    "Content-Length: " + BODY + "\r\n\r\n" + "b".repeat(BODY));
            try (Peer client = Peer.connect(port).send(text)) {
                assertTrue(
                        dialled.await(10, TimeUnit.SECONDS), "the request goes to the only worker");
                listUpdates.add(list(8, false, worker("b", SERVE)));
                Program.await("another worker is listed", () -> counts("list_updates", 2), program);
                otherListed.countDown();
                Message answer = client.message();
                assertEquals("r-q1", answer.body(), "the request provably never ran: " + answer);
            }
            assertTrue(
                    bytesRead.get(10, TimeUnit.SECONDS) < BODY,
                    "the request never arrives completely");
            assertEquals(1, jobs("b"));
        }
    }

    /** Counts the bytes until the connection is closed or reset. */
    private static int countBytes(InputStream in) {
        byte[] buffer = new byte[8 * 1024];
        int count = 0;
        try {
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                count += n;
            }
        } catch (IOException e) {
            return count; // reset
        }
        return count;
    }
}
