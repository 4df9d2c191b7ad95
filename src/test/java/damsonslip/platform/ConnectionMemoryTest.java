package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against connections that each keep so much that all of them together fill the heap: 115 KB
 * of a parser's cache after two requests, once, and 147 KB of short header fields.
 */
class ConnectionMemoryTest extends PlatformStage {
    private static final String HEAP_OF_DEPLOY_FILE = "-Xmx64m";
    private static final int CONNECTIONS = 300;

    /**
     * An eighth of the deploy file's heap, for 1,024 clients and as many connections to workers.
     */
    private static final int MAX_BYTES = 4 * 1024;

    private static final int LISTED_WORKERS = 150;

    /** As many jobs as a worker whose capacity is unknown gets at once. */
    private static final int ABANDONED = 3;

    private static final int LARGEST_BODY_BYTES = 64 * 1024;

    private static final String MANY_FIELDS =
            IntStream.range(0, 1_000)
                    .mapToObj(i -> Integer.toString(i, Character.MAX_RADIX) + ":b\r\n")
                    .collect(Collectors.joining());

    private static final Work UNLESS_WARM_NO_RESPONSE =
            (peer, job) -> {
                boolean isWarm = String.valueOf(job.field("X-Correlation-Id")).startsWith("warm");
                (isWarm ? SERVE : NO_RESPONSE).on(peer, job);
            };

    private final List<Peer> clients = new ArrayList<>();

    /** What each client does with its connection. */
    private interface Use {
        void by(Peer client, int number) throws IOException;
    }

    @AfterEach
    void closeClients() throws IOException {
        for (Peer client : clients) {
            client.close();
        }
    }

    /** Starts the program and sends some requests, after which all classes are loaded. */
    private void startWarm(String... entries) throws IOException {
        startWarm(config(list(7, true, entries)));
    }

    private void startWarm(Path config) throws IOException {
        program =
                new Program(
                                config,
                                Map.of("DAMSONSLIP_CONSOLE", "127.0.0.1:" + console),
                                List.of(HEAP_OF_DEPLOY_FILE),
                                "serve")
                        .awaitOutput("listens on");
        awaitDiscovery();
        for (int i = 0; i < 20; i++) {
            exchange(requestText("warm" + i, "read", "2000m"));
        }
    }

    /** How many bytes the program holds for each connection that is open once clients do this. */
    private long bytesForEach(Use use) throws IOException, InterruptedException {
        int socketsBefore = program.sockets();
        long before = program.liveHeapBytes();
        for (int i = 0; i < CONNECTIONS; i++) {
            Peer client = Peer.connect(port);
            clients.add(client);
            use.by(client, i);
        }
        Program.await(
                "all are open", () -> program.sockets() >= socketsBefore + CONNECTIONS, program);
        long held = program.liveHeapBytes() - before;
        return held / (program.sockets() - socketsBefore);
    }

    private static void assertAtMost(long limit, long bytes) {
        assertTrue(bytes <= limit, bytes + " bytes for each connection");
    }

    @Test
    void silentConnectionHoldsLittle() throws Exception {
        startWarm(worker("a", SERVE));
        assertAtMost(MAX_BYTES, bytesForEach((client, i) -> {}));
    }

    /** Jetty's parser makes its cache with a connection's second request. */
    @Test
    void connectionBetweenRequestsHoldsLittle() throws Exception {
        startWarm(worker("a", SERVE));
        long bytes =
                bytesForEach(
                        (client, i) -> {
                            client.send(requestText("a" + i, "read", "4000m")).message();
                            client.send(requestText("b" + i, "read", "4000m")).message();
                        });
        assertAtMost(MAX_BYTES, bytes);
    }

    @Test
    void shortHeaderFieldsHoldLittle() throws Exception {
        startWarm(worker("a", SERVE));
        long bytes =
                bytesForEach((client, i) -> client.send("POST /api HTTP/1.1\r\n" + MANY_FIELDS));
        assertAtMost(MAX_BYTES, bytes);
    }

    /** Ids are remembered after their request, to recognize duplicates. */
    @Test
    void longIdsHoldLittle() throws Exception {
        startWarm(worker("a", SERVE));
        String rest = "x".repeat(3_000);
        long bytes =
                bytesForEach(
                        (client, i) ->
                                client.send(requestText("a" + i + rest, "read", "4000m"))
                                        .message());
        assertAtMost(MAX_BYTES, bytes);
    }

    /** The limit on clients' requests counts three bytes for each byte of an incomplete head. */
    @Test
    void longHeadHoldsNoMoreThanIsCounted() throws Exception {
        startWarm(worker("a", SERVE));
        String head = "POST /api HTTP/1.1\r\nContent-Type: " + "x".repeat(7_500) + "\r\n";
        assertAtMost(
                MAX_BYTES + 3L * head.length(), bytesForEach((client, i) -> client.send(head)));
    }

    /** Where attempts may not be cancelled, they stay open after their client has disconnected. */
    @Test
    void bodiesOfAbandonedRequestsAreReleased() throws Exception {
        String entry = worker("w", UNLESS_WARM_NO_RESPONSE);
        Path file = config(list(7, true, entry));
        Files.writeString(
                file,
                Files.readString(file).replace("\"may_cancel\":true", "\"may_cancel\":false"));
        startWarm(file);
        long before = program.liveHeapBytes();
        for (int i = 0; i < ABANDONED; i++) {
            clients.add(Peer.connect(port).send(largeRequest("a" + i, LARGEST_BODY_BYTES)));
        }
        Program.await("all are at the worker", () -> abandonedJobs() == ABANDONED, program);
        closeClients();
        Program.await("all are abandoned", () -> counts("queries_gone", ABANDONED), program);
        long held = program.liveHeapBytes() - before;
        assertTrue(held < ABANDONED * LARGEST_BODY_BYTES / 2, held + " bytes");
    }

    private long abandonedJobs() {
        return ids("w").stream().filter(id -> id != null && id.startsWith("a")).count();
    }

    /** Besides the clients' connections there are those to the workers, for jobs and probes. */
    @Test
    void connectionsToWorkersHoldLittle() throws Exception {
        worker("w", UNLESS_WARM_NO_RESPONSE);
        int workerPort = servers.get(servers.size() - 1).port();
        startWarm(
                IntStream.range(0, LISTED_WORKERS)
                        .mapToObj(i -> entry("w" + i, workerPort, "ready"))
                        .toArray(String[]::new));
        long bytes =
                bytesForEach((client, i) -> client.send(requestText("a" + i, "read", "4000m")));
        assertAtMost(MAX_BYTES, bytes);
        int toWorkers = program.sockets() - CONNECTIONS;
        assertTrue(toWorkers > LISTED_WORKERS / 2, toWorkers + " connections to workers");
    }
}
