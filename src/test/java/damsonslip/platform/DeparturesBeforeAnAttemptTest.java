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
 * Clients that disconnect before an attempt begins or while its request is being written: the
 * attempt is not begun, or is aborted.
 */
class DeparturesBeforeAnAttemptTest extends PlatformStage {
    /**
     * Size in bytes of a request that mostly stays in the scheduler while its worker reads nothing.
     */
    private static final int LARGE_BODY_BYTES = 60_000;

    /**
     * The first attempt is rejected, and no worker is available for a retry until after the client
     * has disconnected.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void doesNotRetryAfterClientDisconnects(boolean halfClose) throws Exception {
        CountDownLatch workerIsDraining = new CountDownLatch(1);
        String first =
                worker(
                        "a",
                        (peer, job) -> {
                            workerIsDraining.await();
                            REJECT.on(peer, job);
                        });
        startWithConsole(first);
        Peer client = Peer.connect(port).send(requestText("q1", "submit", "4000m"));
        Program.await("the job is sent", () -> jobs("a") == 1);
        listUpdates.add(list(8, false, first.replace("ready", "draining")));
        Program.await(
                "the list has arrived",
                () -> counts("list_updates", 2)); // the watch's first update, and this one
        workerIsDraining.countDown();
        Program.await("the first attempt is rejected", () -> counts("executions_full", 1));
        if (halfClose) {
            client.endOutput();
        } else {
            client.close();
        }
        Program.await("the disconnect is noticed", () -> counts("queries_gone", 1));
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
                "no other job");
    }

    /**
     * The job does not start on its worker and would migrate to another worker, which is listed
     * only after the client has disconnected.
     */
    @Test
    void doesNotMigrateJobOfDisconnectedClient() throws Exception {
        startWithConsole(worker("a", NO_RESPONSE));
        Peer client = Peer.connect(port).send(requestText("q1", "read", "4000m"));
        Program.await("the job is sent", () -> jobs("a") == 1);
        client.close();
        Program.await("the disconnect is noticed", () -> counts("queries_gone", 1));
        listUpdates.add(list(8, false, worker("b", SERVE)));
        Thread.sleep(500); // migration is checked every 0.1 s
        assertServedBy("b");
        assertEquals(1, jobs("a"));
    }

    /**
     * A request that waits for worker capacity is dropped when its client disconnects, so that it
     * is not forwarded once there is capacity.
     */
    @ParameterizedTest
    @EnumSource
    void doesNotForwardHeldRequestOfDisconnectedClient(Disconnect leaving) throws Exception {
        for (Peer client : startWithWaitingRequests(pipelinedRequests("more", 40))) {
            leaving.by(client);
        }
        Program.await(
                "the disconnects are noticed", () -> counts("queries_gone", WAITING_REQUESTS));
        assertNoneIsForwarded();
    }

    /**
     * While a client has filled its buffer with pipelined data, its disconnect would go unnoticed;
     * it is rejected while it waits for its first attempt.
     */
    @Test
    void rejectsWaitingClientThatFillsItsBuffer() throws Exception {
        for (Peer client : startWithWaitingRequests("")) {
            client.send(pipelinedRequests("more", 600));
        }
        Program.await("all are rejected", () -> counts("queries_bad", WAITING_REQUESTS));
        assertNoneIsForwarded();
    }

    private void assertNoneIsForwarded() throws Exception {
        memoryFreed.countDown();
        Program.await(
                "the worker has capacity", () -> counts("executions_served", IDLE_CONNECTIONS + 1));
        assertEquals("r-last", exchange(requestText("last", "submit", "2000m")).body());
        assertEquals(List.of(), forwardedWaitingIds());
    }

    /**
     * A worker starts a request once its last byte has arrived. A request that was written only in
     * part must not be completed after its client has disconnected, whether or not attempts may be
     * cancelled.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void stopsWritingRequestOnceItsClientDisconnects(boolean mayCancel) throws Exception {
        try (ServerSocket slow = new ServerSocket()) {
            slow.setReceiveBufferSize(4 * 1024);
            slow.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            startWithConsole(
                    file -> file.replace("\"may_cancel\":true", "\"may_cancel\":" + mayCancel),
                    entry("a", slow.getLocalPort(), "ready"));
            Peer client = Peer.connect(port).send(largeRequest("q1", LARGE_BODY_BYTES));
            try (Socket worker = slow.accept()) {
                assertTrue(worker.getInputStream().read() >= 0, "the write has begun");
                client.close();
                Program.await("the disconnect is noticed", () -> counts("queries_gone", 1));
                worker.setSoTimeout(5_000);
                int received =
                        worker.getInputStream().readAllBytes().length; // ends with the connection
                assertTrue(
                        received < LARGE_BODY_BYTES, "the request arrived completely: " + received);
            }
        }
    }
}
