package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Messages that arrive in pieces, as the network or a slow sender splits them. */
class RequestsInPiecesTest extends PlatformStage {
    private static final int CLIENTS = 8;

    /** Long enough that each piece is read before the next is written. */
    private static final int PAUSE_MS = 3;

    private final ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);

    @AfterEach
    void endClients() {
        clients.shutdownNow();
    }

    private void assertBothAnswered(String text, int split, String first, String second)
            throws IOException, InterruptedException {
        try (Peer client = Peer.connect(port)) {
            client.send(text.substring(0, split));
            Thread.sleep(PAUSE_MS);
            client.send(text.substring(split));
            for (String id : List.of(first, second)) {
                Message answer = client.message();
                assertEquals(
                        "200 r-" + id, answer.status() + " " + answer.body(), "split at " + split);
            }
        }
    }

    /**
     * Two pipelined requests written in two parts, split at each byte of the heads, the bodies and
     * the gap between them.
     */
    @Test
    void servesRequestsSplitInTwoAtAnyByte() throws Exception {
        startWithConsole(worker("a", SERVE), worker("b", SERVE), worker("c", SERVE));
        awaitDiscovery();
        int length =
                (requestText("x100", "read", "4000m")
                                + "\r\n"
                                + requestText("y100", "submit", "4000m"))
                        .length();
        List<Future<?>> all = new ArrayList<>();
        AtomicInteger next = new AtomicInteger(1);
        for (int i = 0; i < CLIENTS; i++) {
            all.add(
                    clients.submit(
                            () -> {
                                for (int split = next.getAndIncrement();
                                        split < length;
                                        split = next.getAndIncrement()) {
                                    String first = "x" + (100 + split);
                                    String second = "y" + (100 + split);
                                    String text =
                                            requestText(first, "read", "4000m")
                                                    + "\r\n"
                                                    + requestText(second, "submit", "4000m");
                                    assertBothAnswered(text, split, first, second);
                                }
                                return null;
                            }));
        }
        for (Future<?> one : all) {
            one.get(15, TimeUnit.SECONDS);
        }
    }

    /** Request heads, bodies and answers, sent one byte at a time in both directions. */
    @Test
    void readsRequestsAndAnswersThatArriveByteByByte() throws Exception {
        start(
                worker(
                        "a",
                        (peer, job) -> {
                            String line =
                                    state(
                                                    job,
                                                    "done",
                                                    ",\"result\":\"r-"
                                                            + job.field("X-Correlation-Id")
                                                            + "\",\"load\":{\"x0\":3}")
                                            + "\n";
                            for (char one :
                                    ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                                    + Integer.toHexString(line.length())
                                                    + ";more=1\r\n"
                                                    + line
                                                    + "\r\n0\r\n\r\n")
                                            .toCharArray()) {
                                peer.send(String.valueOf(one));
                                Thread.sleep(1);
                            }
                        }));
        try (Peer client = Peer.connect(port)) {
            for (String id : List.of("q1", "q2")) {
                for (char one : requestText(id, "submit", "4000m").toCharArray()) {
                    client.send(String.valueOf(one));
                    Thread.sleep(PAUSE_MS);
                }
                assertEquals("r-" + id, client.message().body());
            }
        }
    }
}
