package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Requests that a worker reads slowly: the time left that it is sent has to hold when it has read
 * the last byte.
 */
class SlowUploadsTest extends PlatformStage {
    private static final int SMALL_BUFFER = 4 * 1024;
    private static final int BODY_BYTES = 60_000;

    /** 100 KB/s, so that the largest request takes over half a second. */
    private static final int PART_BYTES = 2 * 1024;

    private static final int PART_MS = 20;
    private static final long CLIENT_MS = 4_000;

    /** The time left sent to a worker may exceed the client's by this much (STANDING). */
    private static final long SLACK_MS = 150;

    /**
     * A completely received request: the time left that it states, and when its last byte arrived.
     */
    private record Arrival(long sentTimeLeftMs, long atNs) {}

    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private Peer.Server slow;

    @BeforeEach
    void listen() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReceiveBufferSize(SMALL_BUFFER);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        slow = new Peer.Server(socket, this::readSlowly);
        servers.add(slow);
    }

    private void readSlowly(Peer peer) throws IOException, InterruptedException {
        StringBuilder received = new StringBuilder();
        int complete = Integer.MAX_VALUE;
        while (received.length() < complete) {
            String part = peer.readAvailable(Math.min(PART_BYTES, complete - received.length()));
            if (part.isEmpty()) {
                throw new EOFException();
            }
            received.append(part);
            int headEnd = received.indexOf("\r\n\r\n");
            complete = headEnd < 0 ? complete : headEnd + 4 + BODY_BYTES;
            Thread.sleep(PART_MS);
        }
        String timeLeftUs = received.toString().replaceAll("(?s).*X-Time-Left: ([0-9]+)u.*", "$1");
        arrivals.add(new Arrival(Long.parseLong(timeLeftUs) / 1_000, System.nanoTime()));
        String id = received.toString().replaceAll("(?s).*X-Correlation-Id: (\\S+).*", "$1");
        peer.answerLines(
                "{\"id\":\""
                        + id
                        + "\",\"from\":\"w\",\"state\":\"done\",\"result\":\"r-"
                        + id
                        + "\"}");
    }

    /**
     * Guards against a time left that is computed when the upload begins: a slow upload would leave
     * the worker with more time than its client has.
     */
    @Test
    void slowWorkerGetsNoMoreTimeLeftThanRemains() throws Exception {
        start(entry("a", slow.port(), "ready"));
        long sentNs = System.nanoTime();
        try (Peer client = Peer.connect(port).send(largeRequest("q1", BODY_BYTES))) {
            Message answer = client.message();
            assertEquals("200 r-q1", answer.status() + " " + answer.body());
        }
        assertFalse(arrivals.isEmpty());
        for (Arrival arrival : arrivals) {
            long leftMs = CLIENT_MS - (arrival.atNs() - sentNs) / 1_000_000;
            assertTrue(
                    arrival.sentTimeLeftMs() <= leftMs + SLACK_MS,
                    arrival.sentTimeLeftMs() + " ms sent, " + leftMs + " ms left");
        }
        assertEquals(1, arrivals.size(), "a run-once request is sent once");
    }
}
