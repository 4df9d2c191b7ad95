package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.LateServer;
import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Connections that open a second after they were requested: the decision behind the request may no
 * longer hold by then.
 */
class LateDialsTest extends PlatformStage {
    private static final long WELL_AFTER_MS = 1_800;

    private final List<Message> received = new CopyOnWriteArrayList<>();

    private Path configWithLongDialTimeout(String known) throws IOException {
        Path file = config(known);
        return Files.writeString(
                file,
                Files.readString(file).replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":5"));
    }

    private static void replace(Path file, String one, String other) throws IOException {
        Files.writeString(file, Files.readString(file).replace(one, other));
    }

    private void serve(LateServer server) throws IOException {
        server.open(
                peer -> {
                    while (true) {
                        Message job = peer.message();
                        received.add(job);
                        SERVE.on(peer, job);
                    }
                });
    }

    /** Attempts cannot be cancelled here, so nothing else would keep the query back. */
    @Test
    void doesNotSendQueryWhoseClientDisconnectsWhileConnecting() throws Exception {
        try (LateServer worker = new LateServer()) {
            startWithConsole(
                    file ->
                            file.replace("\"may_cancel\":true", "\"may_cancel\":false")
                                    .replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":5"),
                    entry("a", worker.port(), "ready"));
            Peer client = Peer.connect(port).send(requestText("q1", "submit", "4000m"));
            Program.await(
                    "a connection is being opened for it", () -> counts("executions_sent", 1));
            client.close();
            Program.await("the disconnect is noticed", () -> counts("queries_gone", 1));
            serve(worker);
            Program.await("the connection is established", () -> worker.connections() == 1);
            Thread.sleep(200);
            assertEquals(List.of(), received);
            assertEquals(
                    "r-q2",
                    exchange(requestText("q2", "submit", "2000m")).body(),
                    "the connection is used for another query");
        }
    }

    /**
     * The first attempt may have run. A second one that arrives after the deduplication window
     * would not be recognised as a repeat.
     */
    @Test
    void doesNotRetryOnceDeduplicationWindowPassesWhileConnecting() throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        try (LateServer worker = new LateServer()) {
            worker.open(
                    1,
                    peer -> {
                        received.add(peer.message());
                        worker.hold();
                        held.countDown();
                        peer.close();
                    });
            Path file =
                    configWithLongDialTimeout(list(7, true, entry("a", worker.port(), "ready")));
            replace(
                    file,
                    "\"semantics\":\"once\"",
                    "\"semantics\":\"by_key\",\"dedup_scope\":\"all\",\"window_s\":1.0");
            program = new Program(file, "serve").awaitOutput("listens on");
            try (Peer client = Peer.connect(port).send(requestText("q1", "submit", "4000m"))) {
                assertTrue(held.await(5, TimeUnit.SECONDS));
                Thread.sleep(700); // a new connection is requested within 0.4 s
                serve(worker);
                assertTrue(client.message().status() >= 500);
            }
            Program.await("the second connection is established", () -> worker.connections() == 2);
            Thread.sleep(200);
            assertEquals(1, received.size(), "the query was sent once");
        }
    }

    /**
     * The old watch ends, discovery moves, and the module requests a watch while the new one is
     * being opened.
     */
    @Test
    void opensOnlyOneConnectionForANewWatch() throws Exception {
        List<String> asked = new CopyOnWriteArrayList<>();
        try (LateServer next = new LateServer()) {
            program =
                    new Program(
                                    configWithLongDialTimeout(list(7, true, worker("a", SERVE))),
                                    "serve")
                            .awaitOutput("listens on");
            Program.await("a watch", () -> watches.size() == 1);
            discovery.close();
            program.awaitOutput("the watch on discovery is over");
            program.reload(configWithDiscoveryAt(next.port()));
            program.awaitOutput("reload: discovery is at");
            Thread.sleep(800); // the module requests a watch within 0.6 s
            next.open(
                    peer -> {
                        asked.add(peer.message().first());
                        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                .chunk(list(3, true, worker("b", SERVE)));
                        Thread.sleep(30_000);
                    });
            Program.await("the new watch", () -> asked.size() == 1);
            Thread.sleep(WELL_AFTER_MS);
            assertEquals(1, next.connections(), "one call to discovery: " + asked);
        }
    }

    private String configWithDiscoveryAt(int to) throws IOException {
        return Files.readString(configWithLongDialTimeout(list(7, true)))
                .replace(
                        "\"discovery\":\"127.0.0.1:" + discovery.port() + "\"",
                        "\"discovery\":\"127.0.0.1:" + to + "\"");
    }

    /**
     * The generation of the old address does not apply to the new one, also when the old watch
     * continues while the new one is being opened.
     */
    @Test
    void asksNewDiscoveryFromGenerationZeroAfterUpdateFromOldOne() throws Exception {
        List<String> asked = new CopyOnWriteArrayList<>();
        try (LateServer next = new LateServer()) {
            program =
                    new Program(
                                    configWithLongDialTimeout(list(7, true, worker("a", SERVE))),
                                    "serve")
                            .awaitOutput("listens on");
            Program.await("a watch", () -> watches.size() == 1);
            program.reload(configWithDiscoveryAt(next.port()));
            program.awaitOutput("reload: discovery is at");
            listUpdates.add(list(50, false, worker("c", SERVE)));
            Program.await("an update from the old address still takes effect", () -> served("c"));
            next.open(
                    peer -> {
                        asked.add(peer.message().first());
                        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                .chunk(list(3, true, worker("b", SERVE)));
                        Thread.sleep(30_000);
                    });
            Program.await("the new watch", () -> asked.size() == 1);
            assertTrue(asked.get(0).contains("after=0 "), asked.get(0));
            Program.await("the list of the new watch takes effect", () -> served("b"));
        }
    }

    private boolean served(String worker) {
        try {
            for (String lane : List.of("read", "submit")) { // each class has a worker of its own
                assertEquals(
                        200,
                        exchange(requestText("n" + System.nanoTime(), lane, "2000m")).status());
            }
            return jobs(worker) > 0;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
