package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients that leave before an attempt begins for them, or while it is being written: it does not
 * begin, or end.
 */
class DeparturesBeforeAnAttemptTest extends PlatformStage {
    /** The bytes of a request of which much stays here while its worker reads nothing. */
    private static final int LARGE_BODY_BYTES = 60_000;

    /**
     * The first attempt is turned away, and no worker is left for a second one until after the
     * client has gone.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void whoLeavesBetweenTwoAttemptsGetsNoSecondOne(boolean halfClose) throws Exception {
        CountDownLatch drains = new CountDownLatch(1);
        String first =
                worker(
                        "a",
                        (peer, job) -> {
                            drains.await();
                            REJECT.on(peer, job);
                        });
        startWithConsole(first);
        Peer client = Peer.connect(port).send(requestText("q1", "submit", "4000m"));
        Program.await("it is sent", () -> jobs("a") == 1);
        listUpdates.add(list(8, false, first.replace("ready", "draining")));
        Program.await(
                "the list is in",
                () -> counts("list_updates", 2)); // the watch's first object, and this
        drains.countDown();
        Program.await("it is turned away", () -> counts("executions_full", 1));
        if (halfClose) {
            client.endOutput();
        } else {
            client.close();
        }
        Program.await("it has gone", () -> counts("queries_gone", 1));
        listUpdates.add(list(9, false, worker("b", SERVE)));
        assertServedBy("b");
        assertEquals(1, jobs("a"));
    }

    private void assertServedBy(String worker) {
        Program.await(
                worker + " serves",
                () -> {
                    try {
                        return exchange(requestText("n" + System.nanoTime(), "submit", "2000m"))
                                        .status()
                                == 200;
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
        assertTrue(
                receivedJobs.get(worker).stream()
                        .allMatch(job -> job.field("X-Correlation-Id").startsWith("n")),
                "only that");
    }

    /**
     * It does not start where it is, and would move to a worker that comes after its client has
     * gone.
     */
    @Test
    void whoLeavesBeforeAMoveIsNotMoved() throws Exception {
        startWithConsole(worker("a", NO_RESPONSE));
        Peer client = Peer.connect(port).send(requestText("q1", "read", "4000m"));
        Program.await("it is sent", () -> jobs("a") == 1);
        client.close();
        Program.await("it has gone", () -> counts("queries_gone", 1));
        listUpdates.add(list(8, false, worker("b", SERVE)));
        Thread.sleep(500); // a move is looked at each 0.1 s
        assertServedBy("b");
        assertEquals(1, jobs("a"));
    }

    /** It is gone from the hold when there is room. */
    @ParameterizedTest
    @EnumSource
    void whoLeavesTheHoldIsNotSentOn(Disconnect leaving) throws Exception {
        for (Peer client : startWithWaitingRequests(pipelinedRequests("more", 40))) {
            leaving.by(client);
        }
        Program.await("they have gone", () -> counts("queries_gone", WAITING_REQUESTS));
        assertNoneIsSentOn();
    }

    /**
     * Who fills its buffer could not be seen leaving, and is refused while it waits for its first
     * attempt.
     */
    @Test
    void whoFillsItsBufferWhileItWaitsIsRefusedAndNotSentOn() throws Exception {
        for (Peer client : startWithWaitingRequests("")) {
            client.send(pipelinedRequests("more", 600));
        }
        Program.await("all are refused", () -> counts("queries_bad", WAITING_REQUESTS));
        assertNoneIsSentOn();
    }

    private void assertNoneIsSentOn() throws Exception {
        memoryFreed.countDown();
        Program.await("there is room", () -> counts("executions_served", IDLE_CONNECTIONS + 1));
        assertEquals("r-last", exchange(requestText("last", "submit", "2000m")).body());
        assertEquals(List.of(), forwardedWaitingIds());
    }

    /**
     * A worker starts on a request once its last byte has arrived: what has not left whole is no
     * attempt, and does not become one after its client has gone, whether or not attempts may be
     * called off.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theRestOfARequestIsNotWrittenOnceItsClientHasGone(boolean mayCancel) throws Exception {
        try (ServerSocket slow = new ServerSocket()) {
            slow.setReceiveBufferSize(4 * 1024);
            slow.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            startWithConsole(
                    file -> file.replace("\"may_cancel\":true", "\"may_cancel\":" + mayCancel),
                    entry("a", slow.getLocalPort(), "ready"));
            Peer client = Peer.connect(port).send(largeRequest("q1", LARGE_BODY_BYTES));
            try (Socket worker = slow.accept()) {
                assertTrue(worker.getInputStream().read() >= 0, "it has begun");
                client.close();
                Program.await("it has gone", () -> counts("queries_gone", 1));
                worker.setSoTimeout(5_000);
                int came =
                        worker.getInputStream().readAllBytes().length; // ends with the connection
                assertTrue(came < LARGE_BODY_BYTES, "it did not come whole: " + came);
            }
        }
    }
}
