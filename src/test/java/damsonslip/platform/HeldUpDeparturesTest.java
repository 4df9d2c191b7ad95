package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.LateServer;
import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients that disconnect during a long iteration of the event loop: their closes are read only
 * after that iteration, behind the events that would begin an attempt for them. The test stalls the
 * iteration with a list of thousands of invalid entries, each of which logs a message, while nobody
 * reads the log. The test thus determines the order in which the loop finds all other events.
 */
class HeldUpDeparturesTest extends PlatformStage {
    /** Far more messages than fit into a pipe. */
    private static final int INVALID_ENTRIES = 2_000;

    /** More than the 0.1 s after a disconnect in which an attempt may still begin. */
    private static final long DISCONNECTED_MS = 150;

    /** After so long everything that the scheduler has sent to a worker has arrived. */
    private static final long SENT_MS = 200;

    /**
     * Size in bytes of a request of which a part stays in the scheduler that could be written in
     * one go once the worker reads on.
     */
    private static final int LARGE_BODY_BYTES = 50_000;

    /** After so long everything sent to the stalled scheduler has arrived there, in order. */
    private static final long ARRIVES_MS = 60;

    /** Stalls the event loop in the iteration that applies a list. */
    private void stallLoop() {
        program.pauseReadingAfter("left out an entry");
        listUpdates.add(
                list(8, false, Collections.nCopies(INVALID_ENTRIES, "{}").toArray(String[]::new)));
        Program.await("the loop is stalled in the iteration", program::isReadingPaused);
    }

    /** Lets the iteration continue, so late that no attempt may begin any more. */
    private void resumeLate() throws Exception {
        Thread.sleep(DISCONNECTED_MS);
        resume();
    }

    /** Lets the loop continue, and waits until it has handled everything from before this call. */
    private void resume() throws Exception {
        program.resumeReading();
        assertEquals(200, exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status());
        Thread.sleep(SENT_MS);
    }

    /**
     * Keeps idle connections open for longer than any of these tests takes: on them an attempt
     * begins as soon as it is decided.
     */
    private void startWithLongIdleTimeout(String... entries) throws IOException {
        startWithConsole(file -> file.replace("\"conn_idle_s\":2", "\"conn_idle_s\":20"), entries);
    }

    private List<Peer> send(int count) throws IOException {
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(Peer.connect(port).send(requestText("q" + i, "read", "4500m")));
        }
        return clients;
    }

    private void assertStillServes() throws IOException {
        assertEquals("r-last", exchange(requestText("last", "submit", "2000m")).body());
    }

    /**
     * Several clients disconnect, and the worker has capacity for all of them before the first
     * disconnect.
     */
    @ParameterizedTest
    @EnumSource
    void doesNotBeginAttemptForHeldClientThatDisconnectedDuringIteration(Disconnect leaving)
            throws Exception {
        List<Peer> clients = startWithWaitingRequests("");
        stallLoop();
        memoryFreed.countDown();
        Thread.sleep(ARRIVES_MS);
        for (Peer client : clients) {
            leaving.by(client);
        }
        resumeLate();
        assertStillServes();
        assertEquals(List.of(), forwardedWaitingIds());
    }

    /** The query and the disconnect are found in the same iteration. */
    @ParameterizedTest
    @EnumSource
    void doesNotBeginAttemptForClientThatCameAndLeftDuringIteration(Disconnect leaving)
            throws Exception {
        startWithLongIdleTimeout(worker("a", SERVE));
        assertEquals(200, exchange(requestText("first", "read", "2000m")).status());
        stallLoop();
        for (Peer client : send(5)) {
            leaving.by(client);
        }
        resumeLate();
        assertStillServes();
        assertEquals(List.of("first", "last"), ids("a"));
    }

    /** The connection to the worker is established before the client disconnects. */
    @Test
    void doesNotUseConnectionOpenedDuringIterationForDisconnectedClient() throws Exception {
        List<Message> late = new CopyOnWriteArrayList<>();
        try (LateServer worker = new LateServer()) {
            startWithConsole(
                    file -> file.replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":5"),
                    entry("a", worker.port(), "ready"));
            List<Peer> clients = send(1);
            Program.await(
                    "a connection is being opened for it", () -> counts("executions_sent", 1));
            stallLoop();
            worker.open(
                    peer -> {
                        while (true) {
                            Message job = peer.message();
                            late.add(job);
                            SERVE.on(peer, job);
                        }
                    });
            Program.await("the connection is established", () -> worker.connections() == 1);
            Thread.sleep(ARRIVES_MS);
            clients.get(0).close();
            resumeLate();
            assertEquals(List.of(), late);
            assertStillServes();
        }
    }

    /**
     * Starts two workers with an open connection each; whichever first gets q0 handles it by {@code
     * work}.
     */
    private void startTwo(Work work) throws IOException {
        AtomicBoolean asked = new AtomicBoolean();
        Work either =
                (peer, job) -> {
                    boolean first =
                            job.field("X-Correlation-Id").equals("q0")
                                    && asked.compareAndSet(false, true);
                    (first ? work : SERVE).on(peer, job);
                };
        startWithLongIdleTimeout(worker("a", either), worker("b", either));
        Program.await(
                "both workers have a connection",
                () -> {
                    try {
                        exchange(requestText("r" + System.nanoTime(), "read", "2000m"));
                        exchange(requestText("s" + System.nanoTime(), "submit", "2000m"));
                        return jobs("a") > 0 && jobs("b") > 0;
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
    }

    private int attemptsOfQ0() {
        return (int)
                Stream.of("a", "b")
                        .flatMap(worker -> ids(worker).stream())
                        .filter("q0"::equals)
                        .count();
    }

    /**
     * The first attempt is rejected before the client disconnects, and another worker has capacity.
     */
    @Test
    void doesNotRetryForClientThatDisconnectedDuringIteration() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        startTwo(
                (peer, job) -> {
                    held.await();
                    REJECT.on(peer, job);
                });
        Peer client = Peer.connect(port).send(requestText("q0", "submit", "4500m"));
        Program.await("the job is sent", () -> attemptsOfQ0() == 1);
        stallLoop();
        held.countDown();
        Thread.sleep(ARRIVES_MS);
        client.close();
        resumeLate();
        assertEquals(1, attemptsOfQ0());
        assertStillServes();
    }

    /**
     * A job that has not started within its time migrates to a worker with capacity; that time ends
     * before the client disconnects.
     */
    @Test
    void doesNotMigrateJobOfClientThatDisconnectedDuringIteration() throws Exception {
        startTwo(NO_RESPONSE);
        Peer client = send(1).get(0);
        Program.await("the job is sent", () -> attemptsOfQ0() == 1);
        stallLoop();
        Thread.sleep(DISCONNECTED_MS); // longer than the job may take to start
        client.close();
        resumeLate();
        assertEquals(1, attemptsOfQ0());
        assertStillServes();
    }

    /**
     * The query needs memory that the worker did not have until then; the answer to a probe reports
     * free memory before the client disconnects.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void doesNotBeginAttemptAfterProbeReportsMemoryForDisconnectedClient(boolean duringIteration)
            throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        AtomicInteger probes = new AtomicInteger();
        AtomicBoolean waits = new AtomicBoolean();
        Work probed =
                (peer, message) -> {
                    if (waits.get()) {
                        asked.countDown();
                        memoryFreed.await();
                    }
                    peer.send(
                            "HTTP/1.1 200 OK\r\nX-Backend-Load: TEXT x0=8, x1="
                                    + freeMemory()
                                    + "\r\nContent-Length: 0\r\n\r\n");
                    probes.incrementAndGet();
                };
        startWithConsole(
                file ->
                        longQueueWaits(file)
                                .replace(
                                        "\"may_cancel\":true",
                                        "\"may_cancel\":true,\"may_probe\":true")
                                .replace(
                                        "\"lanes\"",
                                        "\"reporting\":{\"how\":\"pull\",\"fields\":[\"x0\",\"x1\"]},\"lanes\""),
                worker(
                        "a",
                        (peer, message) ->
                                (message.first().startsWith("GET") ? probed : memoryLimited)
                                        .on(peer, message)));
        Program.await("the worker has reported that it has no memory", () -> probes.get() > 1);
        awaitDiscovery();
        openIdleConnections();
        Peer client = sendWaitingRequests(1, "").get(0);
        waits.set(true);
        assertTrue(asked.await(5, TimeUnit.SECONDS), "a probe is in flight");
        if (duringIteration) {
            stallLoop();
            memoryFreed.countDown();
            Thread.sleep(ARRIVES_MS);
            client.close();
            resumeLate();
        } else {
            client.close();
            Program.await("the disconnect is noticed", () -> counts("queries_gone", 1));
            memoryFreed.countDown();
        }
        assertStillServes();
        assertEquals(List.of(), forwardedWaitingIds());
    }

    /**
     * The worker reads the stalled bytes before the client disconnects, so that the rest of the
     * request could be written. After a long iteration the check of connections that the system may
     * not watch runs first.
     */
    @ParameterizedTest
    @CsvSource({"true,0", "false,0", "false,300"})
    void doesNotWriteRestOfRequestAfterIterationInWhichClientDisconnected(
            boolean mayCancel, long extraDelayMs) throws Exception {
        try (ServerSocket slow = new ServerSocket()) {
            slow.setReceiveBufferSize(4 * 1024);
            slow.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            startWithConsole(
                    file -> file.replace("\"may_cancel\":true", "\"may_cancel\":" + mayCancel),
                    entry("a", slow.getLocalPort(), "ready"));
            Peer client = Peer.connect(port).send(largeRequest("q0", LARGE_BODY_BYTES));
            try (Socket worker = slow.accept()) {
                assertTrue(worker.getInputStream().read() >= 0, "the write has begun");
                stallLoop();
                int received = 1 + readAvailable(worker);
                client.close();
                Thread.sleep(ARRIVES_MS + extraDelayMs);
                resume(); // at once, or the stalled request would be abandoned
                received +=
                        worker.getInputStream().readAllBytes().length; // ends with the connection
                assertTrue(
                        received < LARGE_BODY_BYTES, "the request arrived completely: " + received);
            }
        }
    }

    /** Reads until nothing more arrives, and returns the number of bytes. */
    private static int readAvailable(Socket worker) throws IOException {
        worker.setSoTimeout((int) ARRIVES_MS);
        int received = 0;
        try {
            while (worker.getInputStream().read() >= 0) {
                received++;
            }
        } catch (SocketTimeoutException e) {
            worker.setSoTimeout(5_000);
        }
        return received;
    }
}
