package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Unsolicited data from workers: a second answer, a partial line, an endless answer. */
class StrayAnswersTest extends PlatformStage {
    private static final String UNPROCESSED =
            "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

    private static final long LATE_NS = 90_000_000;

    private final List<Message> ranOnReusedConnection = new CopyOnWriteArrayList<>();

    /** A complete answer of this one line, for a single write. */
    private static String answer(String line) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(line.length() + 1)
                + "\r\n"
                + line
                + "\n\r\n0\r\n\r\n";
    }

    private static String done(Message job) {
        return answer(
                state(
                        job,
                        "done",
                        ",\"result\":\"r-"
                                + job.field("X-Correlation-Id")
                                + "\",\"load\":{\"x0\":3}"));
    }

    /**
     * Guards against a connection that is returned to the pool once per answer: two requests would
     * share it, and one of them would never be answered.
     */
    @Test
    void closesConnectionWithSecondAnswer() throws Exception {
        CountDownLatch bothArrived = new CountDownLatch(2);
        start(
                worker(
                        "a",
                        (peer, job) -> {
                            if (job.field("X-Correlation-Id").equals("q1")) {
                                peer.send(
                                        done(job)
                                                + answer(
                                                        state(
                                                                job,
                                                                "done",
                                                                ",\"result\":\"again\"")));
                            } else {
                                bothArrived.countDown();
                                assertTrue(
                                        bothArrived.await(3, TimeUnit.SECONDS),
                                        "each request has a connection of its own");
                                peer.send(done(job));
                            }
                        }));
        assertEquals("r-q1", exchange(requestText("q1", "read", "2000m")).body());
        try (Peer one = Peer.connect(port).send(requestText("q2", "read", "4000m"));
                Peer other = Peer.connect(port).send(requestText("q3", "read", "4000m"))) {
            assertEquals("r-q2", one.message().body());
            assertEquals("r-q3", other.message().body());
        }
        assertEquals(3, servers.get(1).connections());
        assertEquals(3, jobs("a"));
    }

    /**
     * A late "unprocessed" rejection for an earlier request would be read as the next one's. Guards
     * against retrying that one although it ran.
     */
    @Test
    void lateRejectionDoesNotCountAsUnprocessedForNextRequest() throws Exception {
        start(worker("a", withLateRejection()), worker("b", withLateRejection()));
        for (int i = 1; i < 12; i++) {
            assertEquals(
                    "r-q" + i,
                    exchange(requestText("q" + i, "submit", "2000m")).body(),
                    "a run-once request gets a connection of its own");
        }
        assertEquals(11, jobs("a", "b") + ranOnReusedConnection.size(), "each ran once");
    }

    /** Repeatable requests reuse connections; a late rejection on one only causes a retry. */
    @Test
    void lateRejectionDoesNoHarmToRepeatableRequest() throws Exception {
        start(worker("a", withLateRejection()), worker("b", withLateRejection()));
        for (int i = 1; i < 8; i++) {
            assertEquals("r-q" + i, exchange(requestText("q" + i, "read", "3000m")).body());
        }
        assertTrue(!ranOnReusedConnection.isEmpty(), "connections were reused");
    }

    /**
     * Serves each job. A job that arrives on the same connection soon after an answer runs, but is
     * met by a late rejection instead of its answer.
     */
    private Work withLateRejection() {
        return (peer, job) -> {
            Message next = job;
            long answered;
            do {
                peer.send(done(next));
                answered = System.nanoTime();
                next = peer.message();
                ranOnReusedConnection.add(next);
            } while (System.nanoTime() - answered > LATE_NS);
            peer.send(UNPROCESSED);
            throw new IOException("the connection is over");
        };
    }

    /**
     * A malformed line and the end of its answer arrive in one read. Guards against closing the
     * connection for the line and then keeping it for reuse at the end of the answer.
     */
    @Test
    void doesNotReuseConnectionClosedForMalformedLine() throws Exception {
        start(
                worker(
                        "a",
                        (peer, job) ->
                                peer.send(
                                        job.field("X-Correlation-Id").startsWith("bad")
                                                ? answer("nonsense")
                                                : done(job))));
        for (int i = 0; i < 3; i++) {
            assertEquals(502, exchange(requestText("bad" + i, "submit", "1500m")).status());
            Thread.sleep(600); // until the worker's backoff is over
            assertEquals(200, exchange(requestText("good" + i, "submit", "1500m")).status());
        }
        assertTrue(program.output().contains("no job's state"), program.output());
        program.terminate();
        program.exit();
        assertTrue(!program.output().contains("executions_timed_out"), program.output());
    }

    /**
     * A partial answer arrives on an idle connection. Guards against reusing it, where the rest
     * would be read as the next request's answer.
     */
    @Test
    void doesNotReuseConnectionWithPartialAnswer() throws Exception {
        CountDownLatch said = new CountDownLatch(1);
        start(
                worker(
                        "a",
                        (peer, job) -> {
                            peer.send(done(job));
                            if (job.field("X-Correlation-Id").equals("q1")) {
                                Thread.sleep(150);
                                peer.send("HTTP/1.1 200 OK\r\nTransfer-Enc");
                                said.countDown();
                            }
                        }));
        assertEquals("r-q1", exchange(requestText("q1", "submit", "2000m")).body());
        assertTrue(said.await(5, TimeUnit.SECONDS));
        assertEquals("r-q2", exchange(requestText("q2", "submit", "2000m")).body());
        assertEquals(2, jobs("a"));
    }

    /**
     * The request is served by the "done" line. Guards against reading the rest for ever, which
     * would occupy a slot for good.
     */
    @Test
    void closesEndlessAnswerAfterItsLastLine() throws Exception {
        AtomicInteger ended = new AtomicInteger();
        start(
                worker(
                        "a",
                        (peer, job) -> {
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            String done =
                                    state(job, "done", ",\"result\":\"r\",\"load\":{\"x0\":3}");
                            try {
                                for (int i = 0; i < 10_000; i++) {
                                    peer.chunk(done);
                                    Thread.sleep(2);
                                }
                            } finally {
                                ended.incrementAndGet();
                            }
                        }));
        for (String id : List.of("q1", "q2")) {
            assertEquals("r", exchange(requestText(id, "submit", "2000m")).body());
        }
        Program.await("both connections are ended", () -> ended.get() == 2);
    }

    /**
     * 1xx responses are skipped, with their headers; the final response counts, and the connection
     * is reused.
     */
    @Test
    void skipsInterimResponses() throws Exception {
        start(
                worker(
                        "a",
                        (peer, job) ->
                                peer.send(
                                        "HTTP/1.1 100 Continue\r\n\r\n"
                                                + "HTTP/1.1 103 Early Hints\r\n"
                                                + "X-Unprocessed: 1\r\n\r\n"
                                                + done(job))));
        for (int i = 0; i < 3; i++) {
            assertEquals("r-q" + i, exchange(requestText("q" + i, "submit", "2000m")).body());
            Thread.sleep(150);
        }
        assertEquals(1, servers.get(1).connections());
    }

    /**
     * With an endless stream of 1xx responses the request is answered at its deadline, and others
     * are served meanwhile.
     */
    @Test
    void endlessInterimResponsesTimeOutAtDeadline() throws Exception {
        String b = worker("b", SERVE);
        start(
                worker(
                        "a",
                        (peer, job) -> {
                            for (int i = 0; i < 10_000; i++) {
                                peer.send("HTTP/1.1 100 Continue\r\n\r\n".repeat(50));
                            }
                        }));
        long before = System.nanoTime();
        try (Peer client = Peer.connect(port).send(requestText("q1", "submit", "1500m"))) {
            Program.await("it is sent", () -> jobs("a") == 1);
            listUpdates.add(list(8, false, b));
            Program.await(
                    "others are served",
                    () -> {
                        try {
                            return exchange(requestText("n" + System.nanoTime(), "read", "2000m"))
                                            .status()
                                    == 200;
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                    });
            assertEquals(504, client.message().status());
        }
        assertTrue(
                System.nanoTime() - before < 3_500_000_000L, "by its deadline, on a busy machine");
    }
}
