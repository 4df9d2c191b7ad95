package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against peers that fill the heap together though each keeps to the limits for one: the
 * scheduler then answered nobody any more and did not end either. The heap is the one that the
 * deploy file gives.
 */
class SharedMemoryTest extends PlatformStage {
    private static final String HEAP_OF_DEPLOY_FILE = "-Xmx64m";

    /** With the usual client, below a third of the 1,024 descriptors of the configuration. */
    private static final int BAD_CLIENTS = 320;

    private static final int LARGEST_BODY_BYTES = 64 * 1024;
    private static final long ATTACK_MS = 6_000;
    private static final long REQUEST_INTERVAL_MS = 100;
    private static final int LISTED_WORKERS = 100;
    private static final int INCOMPLETE_LINE_BYTES = 250_000;

    private static final Work STOP_WITHIN_LINE =
            (peer, job) -> {
                peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .send(Integer.toHexString(2 * INCOMPLETE_LINE_BYTES) + "\r\n")
                        .send("x".repeat(INCOMPLETE_LINE_BYTES));
                Thread.sleep(30_000);
            };

    private static final Work SERVE_SLOWLY =
            (peer, job) -> {
                Thread.sleep(400);
                peer.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
                        .send("Transfer-Encoding: chunked\r\n\r\n")
                        .chunk(state(job, "done", ",\"result\":\"r\""))
                        .send("0\r\n\r\n");
            };

    private static final String HEALTH_CHECK = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

    private final AtomicInteger nextId = new AtomicInteger();
    private volatile boolean over;

    @AfterEach
    void endAttack() {
        over = true;
    }

    private void startWithSmallHeap(String... entries) throws IOException {
        program =
                new Program(config(list(7, true, entries)), List.of(HEAP_OF_DEPLOY_FILE), "serve")
                        .awaitOutput("listens on");
    }

    /** Starts a worker that is listed under many ids. */
    private String[] manyWorkers(Work work) throws IOException {
        worker("w", work);
        int workerPort = servers.get(servers.size() - 1).port();
        return IntStream.range(0, LISTED_WORKERS)
                .mapToObj(i -> entry("w" + i, workerPort, "ready"))
                .toArray(String[]::new);
    }

    private int status(String request) {
        try {
            return exchange(request).status();
        } catch (IOException e) {
            throw new AssertionError("no answer", e);
        }
    }

    private String usualRequest() {
        return requestText("usual" + nextId.incrementAndGet(), "read", "2000m");
    }

    /** Starts clients that send this text and come again as soon as their connection is ended. */
    private void startBadClients(UnaryOperator<String> textForId) {
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Thread client = new Thread(() -> attack(textForId), "bad client");
            client.setDaemon(true);
            client.start();
        }
    }

    /** Starts clients that send one request after the other, each on one connection if it stays. */
    private void startBusyClients(UnaryOperator<String> requestForId) {
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Thread client = new Thread(() -> sendOneByOne(requestForId), "busy client");
            client.setDaemon(true);
            client.start();
        }
    }

    private void sendOneByOne(UnaryOperator<String> requestForId) {
        while (!over) {
            try (Peer client = Peer.connect(port)) {
                String connection = null;
                while (!over && !"close".equals(connection)) {
                    client.send(requestForId.apply("busy" + nextId.incrementAndGet()));
                    connection = client.message().field("Connection");
                }
            } catch (IOException e) {
                pause();
            }
        }
    }

    private void attack(UnaryOperator<String> textForId) {
        while (!over) {
            try (Peer client = Peer.connect(port)) {
                client.send(textForId.apply("bad" + nextId.incrementAndGet()));
                while (client.line() != null) {
                    // until the program ends the connection
                }
            } catch (IOException e) {
                pause();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(REQUEST_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Each usual request has to be answered in time, whatever the bad clients do meanwhile. */
    private void assertServed(Supplier<String> request) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ATTACK_MS);
        while (System.nanoTime() < endNs) {
            assertEquals(200, status(request.get()), program::output);
            pause();
        }
        assertFalse(program.output().contains("OutOfMemory"), program.output());
    }

    @Test
    void incompleteRequestsDoNotFillHeap() throws Exception {
        startWithSmallHeap(worker("a", SERVE), worker("b", SERVE));
        Program.await("it serves", () -> status(usualRequest()) == 200, program);
        startBadClients(id -> allButLastByte(largeRequest(id, LARGEST_BODY_BYTES)));
        assertServed(this::usualRequest);
    }

    /** What a connection keeps for its next request counts as well: once, its parser's cache. */
    @Test
    void completeRequestsDoNotFillHeap() throws Exception {
        startWithSmallHeap(manyWorkers(SERVE_SLOWLY));
        startBusyClients(id -> largeRequest(id, LARGEST_BODY_BYTES));
        assertServed(() -> HEALTH_CHECK);
        assertTrue(jobs("w") > LISTED_WORKERS, jobs("w") + " jobs were sent");
    }

    private static String allButLastByte(String request) {
        return request.substring(0, request.length() - 1);
    }

    /** The first request waits at a worker; the incomplete one behind it stays in the buffer. */
    @Test
    void requestsAtWorkersAndPipelinedBytesDoNotFillHeap() throws Exception {
        startWithSmallHeap(manyWorkers(NO_RESPONSE));
        startBadClients(
                id ->
                        largeRequest(id, LARGEST_BODY_BYTES)
                                + allButLastByte(largeRequest("n" + id, LARGEST_BODY_BYTES)));
        assertServed(() -> HEALTH_CHECK);
    }

    @Test
    void incompleteLinesOfWorkersDoNotFillHeap() throws Exception {
        startWithSmallHeap(manyWorkers(STOP_WITHIN_LINE));
        startBadClients(id -> requestText(id, "read", "4000m"));
        assertServed(() -> HEALTH_CHECK);
        assertTrue(jobs("w") > LISTED_WORKERS, jobs("w") + " jobs were sent");
    }
}
