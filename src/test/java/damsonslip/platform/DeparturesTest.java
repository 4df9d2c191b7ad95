package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clients that disconnect, and connections that the scheduler closes while data arrives on them.
 */
class DeparturesTest extends PlatformStage {
    @ParameterizedTest
    @ValueSource(ints = {0, 40, 200})
    void cancelsAttemptWhenClientDisconnectsBehindPipelinedData(int ahead) throws Exception {
        List<Long> ended = new CopyOnWriteArrayList<>();
        start(
                worker(
                        "a",
                        (peer, job) -> {
                            if (peer.closed()) {
                                ended.add(System.nanoTime());
                            }
                        }));
        Peer client = Peer.connect(port).send(pipelinedRequests("q1", ahead));
        Program.await("the job is sent", () -> jobs("a") == 1);
        Thread.sleep(100);
        long left = System.nanoTime();
        client.close();
        Program.await("the connection to the worker is closed", () -> !ended.isEmpty());
        assertTrue(ended.get(0) - left < 1_000_000_000L, "long before its deadline");
        Thread.sleep(300);
        assertEquals(1, jobs("a"), "nothing of the pipelined data is forwarded");
    }

    /**
     * A burst of requests waits for a worker that is at capacity and their clients disconnect; when
     * the worker has capacity again, none of the requests is forwarded.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 40})
    void doesNotForwardQueuedRequestsOfDisconnectedClients(int ahead) throws Exception {
        CountDownLatch free = new CountDownLatch(1);
        start(
                worker(
                        "a",
                        (peer, job) -> {
                            free.await();
                            SERVE.on(peer, job);
                        }));
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            clients.add(Peer.connect(port).send(pipelinedRequests("q" + i, ahead)));
        }
        Program.await("some are forwarded", () -> jobs("a") > 0);
        Thread.sleep(150);
        int sent = jobs("a");
        assertTrue(sent < 20, sent + " were forwarded, the others should be queued");
        for (Peer client : clients) {
            client.close();
        }
        Thread.sleep(250);
        free.countDown();
        Thread.sleep(500);
        assertEquals(sent, jobs("a"));
        assertEquals(200, exchange(requestText("last", "read", "2000m")).status());
    }

    /**
     * While a client has pipelined more than the buffer holds, its disconnect would go unnoticed.
     */
    @Test
    void rejectsClientThatPipelinesTooMuch() throws Exception {
        start(worker("a", NO_RESPONSE));
        try (Peer client = Peer.connect(port).send(pipelinedRequests("q1", 600))) {
            assertEquals(400, client.message().status());
            assertTrue(client.ended());
        }
    }

    /**
     * A shutdown closes a keep-alive connection while a request arrives on it. Closing the socket
     * at once would reset the connection and could destroy an answer written before. The request is
     * not forwarded either.
     */
    @Test
    void ignoresRequestThatArrivesWhileAnIdleConnectionIsClosed() throws Exception {
        start(worker("a", SERVE));
        try (Peer client = Peer.connect(port).send(requestText("q1", "submit", "2000m"))) {
            assertEquals("r-q1", client.message().body());
            program.terminate();
            assertTrue(client.ended(), "the scheduler has closed its side");
            client.send(requestText("q2", "submit", "2000m"));
            Thread.sleep(150);
            client.send("and more");
            assertTrue(client.ended(), "no reset");
        }
        assertEquals(143, program.exit());
        assertEquals(1, jobs("a"));
    }

    /** A connection that sent no request within two seconds is closed in the same way. */
    @Test
    void doesNotResetSilentConnectionWhenDataArrivesDuringClose() throws Exception {
        start(worker("a", SERVE));
        try (Peer client = Peer.connect(port)) {
            assertTrue(client.ended(), "closed after two seconds");
            client.send(requestText("q1", "submit", "2000m"));
            Thread.sleep(150);
            client.send("and more");
            assertTrue(client.ended(), "no reset");
        }
        assertEquals(0, jobs("a"));
        assertFalse(program.output().contains("Exception"), program.output());
    }
}
