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
 * Clients that leave while a turn of the loop takes long: their closes are there to be read when it
 * is over, behind what would begin an attempt for them. The turn is held open by a list with
 * thousands of entries that are left out with a message each, while nobody reads the messages: the
 * order in which the loop finds everything else is then the test's own.
 */
class HeldUpDeparturesTest extends PlatformStage {
    /** Far more messages than fit into a pipe. */
    private static final int BAD_ENTRIES = 2_000;

    /** More than the 0.1 s in which an attempt may still begin. */
    private static final long GONE_MS = 150;

    /** What the program has sent to a worker has arrived by then. */
    private static final long SENT_MS = 200;

    /**
     * The bytes of a request of which a part stays here that could leave in one go once the worker
     * takes some.
     */
    private static final int LARGE_BODY_BYTES = 50_000;

    /** What is sent while the loop stands still has reached it in its order by then. */
    private static final long ARRIVES_MS = 60;

    /** Holds the loop in the turn that takes in a list. */
    private void holdUp() {
        program.pauseReadingAfter("left out an entry");
        listUpdates.add(
                list(8, false, Collections.nCopies(BAD_ENTRIES, "{}").toArray(String[]::new)));
        Program.await("the loop is in the middle of it", program::isReadingPaused);
    }

    /** The turn goes on, so late that no attempt may begin any more. */
    private void goOn() throws Exception {
        Thread.sleep(GONE_MS);
        resume();
    }

    /** Waits until all is done that came before this call. */
    private void resume() throws Exception {
        program.resumeReading();
        assertEquals(200, exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status());
        Thread.sleep(SENT_MS);
    }

    /**
     * Links are kept for as long as any of these tests takes: on those an attempt begins in the
     * moment it is decided.
     */
    private void startKeeping(String... entries) throws IOException {
        startWithConsole(file -> file.replace("\"conn_idle_s\":2", "\"conn_idle_s\":20"), entries);
    }

    private List<Peer> send(int count) throws IOException {
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(Peer.connect(port).send(requestText("q" + i, "read", "4500m")));
        }
        return clients;
    }

    private void assertServedAsEver() throws IOException {
        assertEquals("r-last", exchange(requestText("last", "submit", "2000m")).body());
    }

    /** A burst of leavers; there is room for all of them before the first close. */
    @ParameterizedTest
    @EnumSource
    void whoLeftTheHoldDuringATurnGetsNoAttemptFromIt(Disconnect leaving) throws Exception {
        List<Peer> clients = startWithWaitingRequests("");
        holdUp();
        memoryFreed.countDown();
        Thread.sleep(ARRIVES_MS);
        for (Peer client : clients) {
            leaving.by(client);
        }
        goOn();
        assertServedAsEver();
        assertEquals(List.of(), forwardedWaitingIds());
    }

    /** The query and the close are there together. */
    @ParameterizedTest
    @EnumSource
    void whoCameAndLeftDuringATurnGetsNoAttempt(Disconnect leaving) throws Exception {
        startKeeping(worker("a", SERVE));
        assertEquals(200, exchange(requestText("first", "read", "2000m")).status());
        holdUp();
        for (Peer client : send(5)) {
            leaving.by(client);
        }
        goOn();
        assertServedAsEver();
        assertEquals(List.of("first", "last"), ids("a"));
    }

    /** The dial comes up before the close. */
    @Test
    void aDialThatCameUpDuringATurnIsNotUsedForWhoHasLeft() throws Exception {
        List<Message> late = new CopyOnWriteArrayList<>();
        try (LateServer worker = new LateServer()) {
            startWithConsole(
                    file -> file.replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":5"),
                    entry("a", worker.port(), "ready"));
            List<Peer> clients = send(1);
            Program.await("it is dialled for", () -> counts("executions_sent", 1));
            holdUp();
            worker.open(
                    peer -> {
                        while (true) {
                            Message job = peer.message();
                            late.add(job);
                            SERVE.on(peer, job);
                        }
                    });
            Program.await("the dial comes up", () -> worker.connections() == 1);
            Thread.sleep(ARRIVES_MS);
            clients.get(0).close();
            goOn();
            assertEquals(List.of(), late);
            assertServedAsEver();
        }
    }

    /** Two workers with a kept link each; the first one asked for q0 does this with it. */
    private void startTwo(Work work) throws IOException {
        AtomicBoolean asked = new AtomicBoolean();
        Work either =
                (peer, job) -> {
                    boolean first =
                            job.field("X-Correlation-Id").equals("q0")
                                    && asked.compareAndSet(false, true);
                    (first ? work : SERVE).on(peer, job);
                };
        startKeeping(worker("a", either), worker("b", either));
        Program.await(
                "both have a link",
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

    private int sentOn() {
        return (int)
                Stream.of("a", "b")
                        .flatMap(worker -> ids(worker).stream())
                        .filter("q0"::equals)
                        .count();
    }

    /** The first attempt is turned away before the close, and there is another worker with room. */
    @Test
    void whoLeftBetweenTwoAttemptsDuringATurnGetsNoSecondOne() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        startTwo(
                (peer, job) -> {
                    held.await();
                    REJECT.on(peer, job);
                });
        Peer client = Peer.connect(port).send(requestText("q0", "submit", "4500m"));
        Program.await("it is sent", () -> sentOn() == 1);
        holdUp();
        held.countDown();
        Thread.sleep(ARRIVES_MS);
        client.close();
        goOn();
        assertEquals(1, sentOn());
        assertServedAsEver();
    }

    /**
     * What has not started in its time moves to where there is room; its time is up before the
     * close.
     */
    @Test
    void whoLeftDuringATurnIsNotMoved() throws Exception {
        startTwo(NO_RESPONSE);
        Peer client = send(1).get(0);
        Program.await("it is sent", () -> sentOn() == 1);
        holdUp();
        Thread.sleep(GONE_MS); // longer than it is given to start
        client.close();
        goOn();
        assertEquals(1, sentOn());
        assertServedAsEver();
    }

    /**
     * It needs memory that the worker had none of until then; the answer of a probe tells of some
     * before the close.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aProbeThatTellsOfRoomBeginsNothingForWhoHasLeft(boolean duringTurn) throws Exception {
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
        Program.await("it has told that it has no memory", () -> probes.get() > 1);
        awaitDiscovery();
        openIdleConnections();
        Peer client = sendWaitingRequests(1, "").get(0);
        waits.set(true);
        assertTrue(asked.await(5, TimeUnit.SECONDS), "a probe is under way");
        if (duringTurn) {
            holdUp();
            memoryFreed.countDown();
            Thread.sleep(ARRIVES_MS);
            client.close();
            goOn();
        } else {
            client.close();
            Program.await("it has gone", () -> counts("queries_gone", 1));
            memoryFreed.countDown();
        }
        assertServedAsEver();
        assertEquals(List.of(), forwardedWaitingIds());
    }

    /**
     * The worker takes what had stood still before the close, and there is room for the rest of the
     * request. Behind a long turn the look at connections that the system may not watch comes
     * first.
     */
    @ParameterizedTest
    @CsvSource({"true,0", "false,0", "false,300"})
    void theRestOfARequestIsNotWrittenBehindATurnInWhichItsClientLeft(
            boolean mayCancel, long longerMs) throws Exception {
        try (ServerSocket slow = new ServerSocket()) {
            slow.setReceiveBufferSize(4 * 1024);
            slow.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            startWithConsole(
                    file -> file.replace("\"may_cancel\":true", "\"may_cancel\":" + mayCancel),
                    entry("a", slow.getLocalPort(), "ready"));
            Peer client = Peer.connect(port).send(largeRequest("q0", LARGE_BODY_BYTES));
            try (Socket worker = slow.accept()) {
                assertTrue(worker.getInputStream().read() >= 0, "it has begun");
                holdUp();
                int came = 1 + drain(worker);
                client.close();
                Thread.sleep(ARRIVES_MS + longerMs);
                resume(); // at once, or the request would be given up for standing still
                came += worker.getInputStream().readAllBytes().length; // ends with the connection
                assertTrue(came < LARGE_BODY_BYTES, "it did not come whole: " + came);
            }
        }
    }

    /** Takes what comes until nothing more does. */
    private static int drain(Socket worker) throws IOException {
        worker.setSoTimeout((int) ARRIVES_MS);
        int came = 0;
        try {
            while (worker.getInputStream().read() >= 0) {
                came++;
            }
        } catch (SocketTimeoutException e) {
            worker.setSoTimeout(5_000);
        }
        return came;
    }
}
