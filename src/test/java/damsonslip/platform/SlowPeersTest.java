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

/** Clients, workers and consoles that read slowly or not at all. */
class SlowPeersTest extends PlatformStage {
    /** A receive buffer so small that most of a large message stays with its sender. */
    private static final int SMALL_BUFFER = 4 * 1024;

    /** The most clients that read nothing. */
    private static final int MAX_SILENT_CLIENTS = 1_000;

    private static final int LARGE_REQUEST_BYTES = 60_000;
    private static final int LARGE_ANSWER_BYTES = 250_000;
    private static final Work LARGE_BODY_BYTES =
            (peer, job) ->
                    peer.answerLines(
                            state(
                                    job,
                                    "done",
                                    ",\"result\":\""
                                            + "x".repeat(LARGE_ANSWER_BYTES)
                                            + "\",\"load\":{\"x0\":3}"));

    /**
     * The last byte of the request was never sent, so the request cannot have run, and even a
     * run-once request is retried on another worker.
     */
    @Test
    void workerThatStallsDuringUploadCostsNoAnswer() throws Exception {
        try (ServerSocket stalled = new ServerSocket()) {
            stalled.setReceiveBufferSize(SMALL_BUFFER);
            stalled.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            start(
                    worker("a", SERVE),
                    entry(
                            "b",
                            stalled.getLocalPort(),
                            "ready")); // the last worker, dealt to the pool of 'submit', never
            // reads
            int i = 0;
            while (!program.output().contains("worker b takes a request too slowly") && i < 12) {
                assertEquals(200, exchange(largeRequest("q" + i++, LARGE_REQUEST_BYTES)).status());
            }
            assertTrue(
                    program.output().contains("worker b takes a request too slowly"),
                    program.output());
            assertEquals(i, jobs("a"));
        }
        program.terminate();
        assertEquals(143, program.exit());
        assertTrue(program.output().contains(" uploads_given_up="), program.output());
    }

    private Socket connectAndAsk(String id) throws IOException {
        Socket client = new Socket();
        client.setReceiveBufferSize(SMALL_BUFFER);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        client.setSoTimeout(10_000);
        client.getOutputStream()
                .write(requestText(id, "read", "4000m").getBytes(StandardCharsets.UTF_8));
        return client;
    }

    private long closedForMemory() {
        return program.output()
                .lines()
                .filter(line -> line.contains("answers that are not read hold more"))
                .count();
    }

    /** On a busy machine the program may reject requests until it has heard from discovery. */
    private void awaitService() {
        Program.await("the program serves", () -> served("first" + System.nanoTime()), program);
    }

    private boolean served(String id) {
        try {
            return exchange(requestText(id, "submit", "4000m")).status() == 200;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Guards against unread answers that fill the heap: a hundred of 250 KB would not fit into the
     * smallest heap beside what the program needs.
     */
    @Test
    void clientsThatDoNotReadDoNotFillHeap() throws Exception {
        program =
                new Program(
                                config(
                                        list(
                                                7,
                                                true,
                                                worker("a", LARGE_BODY_BYTES),
                                                worker("b", LARGE_BODY_BYTES))),
                                List.of("-Xmx32m"),
                                "serve")
                        .awaitOutput("listens on");
        List<Socket> silent = new ArrayList<>();
        try {
            // on a busy machine many are rejected and hold nothing, so this goes on until enough
            // have been served
            for (int i = 0; i < MAX_SILENT_CLIENTS && closedForMemory() < 50; i++) {
                silent.add(connectAndAsk("q" + i));
                Thread.sleep(10);
                if (i % 10 == 0) {
                    String id = "s" + i;
                    Program.await(
                            "a client that reads is still served",
                            () -> served(id + System.nanoTime()));
                }
            }
            Program.await(
                    "clients are closed for the memory they hold, not for their pace",
                    () -> closedForMemory() >= 50);
        } finally {
            for (Socket client : silent) {
                client.close();
            }
        }
        assertFalse(program.output().contains("OutOfMemory"), program.output());
    }

    /**
     * The console lists a slow client and a slow worker, what each is slow at, and its remaining
     * time.
     */
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
                                    worker("a", LARGE_BODY_BYTES),
                                    entry("b", stalled.getLocalPort(), "ready")));
            program =
                    new Program(
                                    file,
                                    Map.of("DAMSONSLIP_CONSOLE", "127.0.0.1:" + console),
                                    List.of(),
                                    "serve")
                            .awaitOutput("listens on");
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
                                                    largeRequest(
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

    /**
     * Guards against idle connections that keep their last write buffer, which was 16 KB per
     * connection.
     */
    @Test
    void idleConnectionsDoNotFillHeap() throws Exception {
        program =
                new Program(config(list(7, true, worker("a", SERVE))), List.of("-Xmx12m"), "serve")
                        .awaitOutput("listens on");
        List<Peer> idle = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            idle.add(Peer.connect(port).send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"));
            assertEquals(200, idle.get(i).message().status());
        }
        assertEquals(200, exchange(requestText("q1", "submit", "4000m")).status(), program::output);
        for (Peer each : idle) {
            each.close();
        }
        assertFalse(program.output().contains("OutOfMemory"), program.output());
    }

    /** A client that reads nothing is closed; one that pauses once gets its complete answer. */
    @Test
    void closesClientThatNeverReadsItsAnswer() throws Exception {
        start(worker("a", LARGE_BODY_BYTES));
        awaitService();
        try (Socket silent = connectAndAsk("q1");
                Socket pausing = connectAndAsk("q2")) {
            Thread.sleep(3_000);
            assertEquals(
                    LARGE_ANSWER_BYTES,
                    pausing.getInputStream().readNBytes(LARGE_ANSWER_BYTES).length);
            program.awaitOutput("a client reads nothing of its answer");
            assertTrue(
                    silent.getInputStream().readNBytes(LARGE_ANSWER_BYTES).length
                            < LARGE_ANSWER_BYTES,
                    "its answer was cut off");
        }
        program.terminate();
        assertEquals(143, program.exit());
        assertTrue(program.output().contains(" slow_readers_let_go=1"), program.output());
    }

    /**
     * Guards against a console client that pipelines commands and reads nothing: at most one answer
     * is buffered, the client is listed as slow, and it is closed.
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
                        .awaitOutput("listens on");
        Program.await(
                "the console listens, a moment after the port for clients",
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
            Program.await(
                    "the slow console is listed",
                    () -> slowPeers(console).contains("reads the console"));
            program.awaitOutput("a console reads nothing of its answer and is let go");
        }
        assertFalse(program.output().contains("OutOfMemory"), program.output());
        try (Peer asker =
                Peer.connect(console)
                        .send("phase\nphase\n")) { // pipelined and read: each command is answered
            assertEquals(
                    List.of("serving", ".", "serving", "."),
                    List.of(asker.line(), asker.line(), asker.line(), asker.line()));
        }
    }
}
