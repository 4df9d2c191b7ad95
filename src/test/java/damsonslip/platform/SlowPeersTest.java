package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Peers that read slowly, or not at all. */
class SlowPeersTest extends PlatformStage {
    /** So little that a large message stays with its sender. */
    private static final int SMALL_BUFFER = 4 * 1024;

    /** Clients that read nothing, at the most. */
    private static final int MAX_SILENT_CLIENTS = 1_000;

    private static final int LARGE_REQUEST_BYTES = 60_000;
    private static final int LARGE_ANSWER_BYTES = 250_000;
    private static final Work LARGE =
            (peer, job) ->
                    peer.answerLines(
                            state(
                                    job,
                                    "done",
                                    ",\"result\":\""
                                            + "x".repeat(LARGE_ANSWER_BYTES)
                                            + "\",\"load\":{\"x0\":3}"));

    /** The last byte never left, so that what must run once may go to another worker. */
    @Test
    void workerThatStallsDuringUploadCostsNoAnswer() throws Exception {
        try (ServerSocket stalled = new ServerSocket()) {
            stalled.setReceiveBufferSize(SMALL_BUFFER);
            stalled.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            start(
                    worker("a", SERVE),
                    entry("b", stalled.getLocalPort(), "ready")); // the last one is the class's own
            int i = 0;
            while (!program.said().contains("worker b takes a request too slowly") && i < 12) {
                assertEquals(200, ask(large("q" + i++, LARGE_REQUEST_BYTES)).status());
            }
            assertTrue(
                    program.said().contains("worker b takes a request too slowly"), program.said());
            assertEquals(i, jobs("a"));
        }
        program.terminate();
        assertEquals(143, program.exit());
        assertTrue(program.said().contains(" uploads_given_up="), program.said());
    }

    private Socket connectAndAsk(String id) throws IOException {
        Socket client = new Socket();
        client.setReceiveBufferSize(SMALL_BUFFER);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        client.setSoTimeout(10_000);
        client.getOutputStream().write(query(id, "read", "4000m").getBytes(StandardCharsets.UTF_8));
        return client;
    }

    private long closedForMemory() {
        return program.said()
                .lines()
                .filter(line -> line.contains("answers that are not read hold more"))
                .count();
    }

    /** A start on a busy machine may refuse until it has heard discovery. */
    private void awaitService() {
        Program.await("it serves", () -> served("first" + System.nanoTime()), program);
    }

    private boolean served(String id) {
        try {
            return ask(query(id, "submit", "4000m")).status() == 200;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * A hundred answers of 250 KB would not fit into the smallest heap beside what the program
     * needs.
     */
    @Test
    void clientsThatDoNotReadDoNotFillHeap() throws Exception {
        program =
                new Program(
                                config(list(7, true, worker("a", LARGE), worker("b", LARGE))),
                                List.of("-Xmx32m"),
                                "serve")
                        .awaitWord("listens on");
        List<Socket> silent = new ArrayList<>();
        try {
            // on a busy machine many are turned away, and hold nothing: it goes on until enough
            // have been served
            for (int i = 0; i < MAX_SILENT_CLIENTS && closedForMemory() < 50; i++) {
                silent.add(connectAndAsk("q" + i));
                Thread.sleep(10);
                if (i % 10 == 0) {
                    String id = "s" + i;
                    Program.await(
                            "who reads is served as ever", () -> served(id + System.nanoTime()));
                }
            }
            Program.await(
                    "they are let go for what they hold, not for their pace",
                    () -> closedForMemory() >= 50);
        } finally {
            for (Socket client : silent) {
                client.close();
            }
        }
        assertFalse(program.said().contains("OutOfMemory"), program.said());
    }

    /** Who is slow, at what, and how long it may go on: a client and a worker. */
    @Test
    void consoleShowsSlowestPeers() throws Exception {
        int console = Program.freePort();
        try (ServerSocket stalled = new ServerSocket()) {
            stalled.setReceiveBufferSize(SMALL_BUFFER);
            stalled.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Path file =
                    config(
                            list(
                                    7,
                                    true,
                                    worker("a", LARGE),
                                    entry("b", stalled.getLocalPort(), "ready")));
            program =
                    new Program(
                                    file,
                                    Map.of("DAMSONSLIP_CONSOLE", "127.0.0.1:" + console),
                                    List.of(),
                                    "serve")
                            .awaitWord("listens on");
            awaitService();
            try (Socket silent = connectAndAsk("q1")) {
                Program.await(
                        "the client is shown",
                        () ->
                                slowPeers(console)
                                        .matches(
                                                "(?s)peer .*127.0.0.1:"
                                                        + silent.getLocalPort()
                                                        + " +reads an answer +[1-9][0-9]+ +[0-9]+"
                                                        + " +[0-9.]+\n"
                                                        + ".*"));
                Program.await(
                        "the worker is shown",
                        () -> {
                            try (Peer client =
                                    Peer.connect(port)
                                            .send(
                                                    large(
                                                            "u" + System.nanoTime(),
                                                            LARGE_REQUEST_BYTES))) {
                                Thread.sleep(100);
                                return slowPeers(console)
                                        .matches(
                                                "(?s).*\n"
                                                        + "b +takes a request +[1-9][0-9]+ +[0-9]+"
                                                        + " +0\\.[0-9]\n"
                                                        + ".*");
                            } catch (IOException | InterruptedException e) {
                                throw new AssertionError(e);
                            }
                        });
            }
        }
    }

    private static String slowPeers(int console) {
        try (Peer peer = Peer.connect(console).send("slow\n")) {
            StringBuilder answer = new StringBuilder();
            for (String line = peer.line(); line != null && !line.equals("."); line = peer.line()) {
                answer.append(line).append('\n');
            }
            return answer.toString();
        } catch (IOException e) {
            return e.toString();
        }
    }

    /** What a kept connection wrote last must not stay with it: that was 16 KB a link. */
    @Test
    void idleConnectionsDoNotFillHeap() throws Exception {
        program =
                new Program(config(list(7, true, worker("a", SERVE))), List.of("-Xmx12m"), "serve")
                        .awaitWord("listens on");
        List<Peer> kept = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            kept.add(Peer.connect(port).send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"));
            assertEquals(200, kept.get(i).message().status());
        }
        assertEquals(200, ask(query("q1", "submit", "4000m")).status(), program::said);
        for (Peer each : kept) {
            each.close();
        }
        assertFalse(program.said().contains("OutOfMemory"), program.said());
    }

    /** One reads nothing and goes; one pauses once and gets all. */
    @Test
    void closesClientThatNeverReadsItsAnswer() throws Exception {
        start(worker("a", LARGE));
        awaitService();
        try (Socket silent = connectAndAsk("q1");
                Socket pausing = connectAndAsk("q2")) {
            Thread.sleep(3_000);
            assertEquals(
                    LARGE_ANSWER_BYTES,
                    pausing.getInputStream().readNBytes(LARGE_ANSWER_BYTES).length);
            program.awaitWord("a client reads nothing of its answer");
            assertTrue(
                    silent.getInputStream().readNBytes(LARGE_ANSWER_BYTES).length
                            < LARGE_ANSWER_BYTES,
                    "its answer was cut off");
        }
        program.terminate();
        assertEquals(143, program.exit());
        assertTrue(program.said().contains(" slow_readers_let_go=1"), program.said());
    }

    /**
     * Guards against a console that sends ahead and reads nothing: it holds one answer, is shown,
     * and is let go.
     */
    @Test
    void consoleThatDoesNotReadHoldsOneAnswerAndIsClosed() throws Exception {
        int console = Program.freePort();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            entries.add(entry("worker-with-a-long-name-" + i, 9, "ready"));
        }
        Path file = config(list(7, true, entries.toArray(String[]::new)));
        program =
                new Program(
                                file,
                                Map.of("DAMSONSLIP_CONSOLE", "127.0.0.1:" + console),
                                List.of("-Xmx32m"),
                                "serve")
                        .awaitWord("listens on");
        Program.await(
                "the console listens, a moment after the clients' door",
                () -> {
                    try (Peer asker = Peer.connect(console)) {
                        return true;
                    } catch (IOException e) {
                        return false;
                    }
                });
        try (Socket silent = new Socket()) {
            silent.setReceiveBufferSize(SMALL_BUFFER);
            silent.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), console));
            silent.getOutputStream()
                    .write(
                            "workers\n"
                                    .repeat(900)
                                    .getBytes(StandardCharsets.UTF_8)); // 120 MB of answers
            Program.await("it is shown", () -> slowPeers(console).contains("reads the console"));
            program.awaitWord("a console reads nothing of its answer and is let go");
        }
        assertFalse(program.said().contains("OutOfMemory"), program.said());
        try (Peer asker =
                Peer.connect(console)
                        .send("phase\nphase\n")) { // sent ahead, and read: each is answered
            assertEquals(
                    List.of("serving", ".", "serving", "."),
                    List.of(asker.line(), asker.line(), asker.line(), asker.line()));
        }
    }
}
