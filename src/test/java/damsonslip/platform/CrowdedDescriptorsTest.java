package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.LateServer;
import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** More peers connect than the configured limit of file descriptors allows. */
class CrowdedDescriptorsTest extends PlatformStage {
    private static final int SOCKETS = 128;

    /**
     * Descriptors that these tests need beyond the limit: here the classes are loaded from so many
     * JAR files, in operation from one.
     */
    private static final int EXTRA_DESCRIPTORS =
            (int)
                            Stream.of(
                                            System.getProperty(
                                                            "surefire.test.class.path",
                                                            System.getProperty("java.class.path"))
                                                    .split(File.pathSeparator))
                                    .filter(entry -> entry.endsWith(".jar"))
                                    .count()
                    - 1;

    private static final int MAX_IDLE_CONNECTIONS = 300;
    private static final int KNOWN_CLIENTS = 4;
    private static final int PAUSE_MS = 40;

    /**
     * A new connection may be closed unread, so one of so many must be served; if idle connections
     * were not evicted, it would be one of twenty.
     */
    private static final int SERVED_ONE_OF = 4;

    /** Client connections that stay open: half of the remaining descriptors. */
    private static final int STAYING_CONNECTIONS = 44;

    /** Long enough for the idle connections to exhaust the descriptors several times over. */
    private static final int IDLE_LOAD_MS = 2_500;

    private static final int DOWN_MS = 1_000;

    private final AtomicBoolean over = new AtomicBoolean();
    private final AtomicBoolean down = new AtomicBoolean();
    private final AtomicInteger ids = new AtomicInteger();
    private final KnownClients keepAliveClients = new KnownClients();
    private final KnownClients reconnectingClients = new KnownClients();

    @AfterEach
    void endAll() {
        over.set(true);
    }

    private Path configWithFewDescriptors(String dialTimeout, String... entries)
            throws IOException {
        Path file = config(list(7, true, entries));
        return Files.writeString(
                file,
                Files.readString(file)
                        .replace("\"sockets\":1024", "\"sockets\":" + SOCKETS)
                        .replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":" + dialTimeout));
    }

    private interface Step {
        void run() throws IOException, InterruptedException;
    }

    private void repeat(Step step) {
        Thread thread =
                new Thread(
                        () -> {
                            while (!over.get()) {
                                try {
                                    step.run();
                                } catch (IOException e) {
                                    // rejected or closed; the next step uses a new connection
                                } catch (InterruptedException e) {
                                    return;
                                }
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Opens as many connections as possible that send nothing or half a request head, and closes
     * the oldest ones.
     */
    private void startIdleConnections() {
        ArrayDeque<Peer> open = new ArrayDeque<>();
        repeat(
                () -> {
                    Peer idle = Peer.connect(port);
                    open.add(idle);
                    if (open.size() % 2 == 0) {
                        idle.send("POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Corr");
                    }
                    if (open.size() > MAX_IDLE_CONNECTIONS) {
                        open.poll().close();
                    }
                    Thread.sleep(4);
                });
    }

    /** Counts how often clients of one kind have sent a query, and how often they were served. */
    private static final class KnownClients {
        private final AtomicInteger asked = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();

        /** Asserts that at least one in {@code of} queries was served. */
        void assertServed(int of, String what) {
            String share = served + " of " + asked;
            assertTrue(
                    served.get() > KNOWN_CLIENTS && served.get() * of > asked.get(),
                    what + ": " + share);
        }
    }

    /**
     * Sends queries repeatedly, either on one connection for as long as that stays open, or on a
     * new connection for each query.
     */
    private void startKnownClient(KnownClients kind) {
        repeat(
                () -> {
                    kind.asked.incrementAndGet();
                    try (Peer client = Peer.connect(port)) {
                        do {
                            Message answer =
                                    client.send(
                                                    requestText(
                                                            "q" + ids.incrementAndGet(),
                                                            "submit",
                                                            "2000m"))
                                            .message();
                            kind.served.addAndGet(answer.status() == 200 ? 1 : 0);
                            Thread.sleep(PAUSE_MS);
                            kind.asked.addAndGet(kind == keepAliveClients ? 1 : 0);
                        } while (kind == keepAliveClients && !over.get());
                    } finally {
                        Thread.sleep(PAUSE_MS);
                    }
                });
    }

    /**
     * A worker that closes each connection after its answer, so that every query needs a new
     * connection.
     */
    private String workerClosingConnections(String id) throws IOException {
        return worker(
                id,
                (peer, job) -> {
                    SERVE.on(peer, job);
                    throw new IOException("the connection is over");
                });
    }

    /**
     * Discovery that sends a list unless it is down, and then keeps the watch open without updates.
     */
    private Peer.Server startDiscovery(int at, Supplier<String> list) throws IOException {
        Peer.Server server =
                new Peer.Server(
                        at,
                        peer -> {
                            peer.message();
                            if (down.get()) {
                                peer.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                                return;
                            }
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                    .chunk(list.get());
                            while (true) {
                                Thread.sleep(1_000);
                                peer.chunk("");
                            }
                        });
        servers.add(server);
        return server;
    }

    /**
     * The system enforces the descriptor limit: if idle clients took the descriptors of discovery
     * or of workers, those would have none. Known clients are counted while discovery is being
     * watched; an unconfirmed list expires, and a slow machine would reach that.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void keepsDescriptorsForDiscoveryWorkersAndKnownClients(boolean refusesConnections)
            throws Exception {
        String a = workerClosingConnections("a");
        String b = workerClosingConnections("b");
        AtomicReference<String> currentList = new AtomicReference<>(list(8, true, a));
        discovery = startDiscovery(0, currentList::get);
        int at = discovery.port();
        program =
                Program.withDescriptors(
                                configWithFewDescriptors("0.25", a),
                                SOCKETS + EXTRA_DESCRIPTORS,
                                "serve")
                        .awaitOutput("listens on");
        startIdleConnections();
        startIdleConnections();
        Program.await("idle connections fill the limit", () -> program.sockets() > SOCKETS / 3);
        for (int i = 0; i < KNOWN_CLIENTS; i++) {
            startKnownClient(keepAliveClients);
            startKnownClient(reconnectingClients);
        }
        Thread.sleep(IDLE_LOAD_MS);
        keepAliveClients.assertServed(2, "on kept connections");
        reconnectingClients.assertServed(SERVED_ONE_OF, "on new connections");
        down.set(true);
        if (refusesConnections) {
            discovery.close();
        } else {
            discovery.endConnections();
        }
        Thread.sleep(DOWN_MS);
        currentList.set(list(9, true, b));
        down.set(false);
        if (refusesConnections) {
            discovery = startDiscovery(at, currentList::get);
        }
        Program.await(
                "the new list takes effect, and its worker gets a connection",
                () -> jobs("b") > 0,
                program);
        int before = reconnectingClients.served.get();
        Program.await(
                "known clients are still served",
                () -> reconnectingClients.served.get() > before + KNOWN_CLIENTS,
                program);
        assertFalse(program.output().contains("Too many open files"), program.output());
    }

    /**
     * Served clients stay idle until newer ones evict them, and each sends another request at just
     * that time. Either the request is answered, or the connection is closed and no worker gets the
     * request, so that the client may send it again.
     */
    @Test
    void answersOrNeverForwardsRequestOnAnEvictedConnection() throws Exception {
        program =
                new Program(configWithFewDescriptors("0.25", worker("a", SERVE)), "serve")
                        .awaitOutput("listens on");
        List<Peer> idleClients = new ArrayList<>();
        int unanswered = 0;
        for (int i = 0; i < 4 * SOCKETS; i++) {
            Peer client = Peer.connect(port).send(requestText("first" + i, "read", "2000m"));
            idleClients.add(client);
            assertEquals(200, client.message().status());
            if (i < STAYING_CONNECTIONS) {
                continue;
            }
            int old = i - STAYING_CONNECTIONS; // about as many as stay open: some of them are
            // being closed now
            unanswered += answered(idleClients.get(old), "again" + old) ? 0 : 1;
        }
        assertTrue(unanswered > 0, "some connections were closed");
    }

    /** Returns whether another request is answered; if not, asserts that no worker got it. */
    private boolean answered(Peer client, String id) throws IOException {
        Message answer = null;
        try (client) {
            client.send(requestText(id, "submit", "2000m"));
            answer = client.message();
        } catch (EOFException | SocketException e) {
            // the connection was closed; a reset if that was more than half a second ago
        }
        long timesReceived =
                receivedJobs("a").filter(job -> job.field("X-Correlation-Id").equals(id)).count();
        assertEquals(answer == null ? 0 : 1, timesReceived, id);
        return answer != null;
    }

    private Stream<Message> receivedJobs(String worker) {
        return receivedJobs.get(worker).stream();
    }

    /**
     * A connection being opened holds a descriptor as an open one does, also once its job has
     * migrated or its deadline has passed.
     */
    @Test
    void limitsDescriptorsOfConnectionsThatNeverOpen() throws Exception {
        List<LateServer> lateServers = new ArrayList<>();
        try {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                lateServers.add(new LateServer());
                entries.add(entry("late" + i, lateServers.get(i).port(), "ready"));
            }
            entries.add(worker("a", SERVE));
            program =
                    new Program(
                                    configWithFewDescriptors("5", entries.toArray(String[]::new)),
                                    "serve")
                            .awaitOutput("listens on");
            int clients = 40;
            for (int i = 0; i < clients; i++) {
                repeat(
                        () -> {
                            try (Peer client = Peer.connect(port)) {
                                while (!over.get()) {
                                    client.send(
                                                    requestText(
                                                            "q" + ids.incrementAndGet(),
                                                            "read",
                                                            "600m"))
                                            .message();
                                    Thread.sleep(20);
                                }
                            }
                        });
            }
            int most = 0;
            for (int i = 0; i < 80; i++) {
                Thread.sleep(50);
                most = Math.max(most, program.sockets());
            }
            assertTrue(most <= SOCKETS - 24, most + " sockets");
            assertTrue(jobs("a") > 0);
            over.set(true);
            program.terminate();
            assertEquals(143, program.exit());
            assertTrue(program.output().contains("server_dials_given_up="), program.output());
        } finally {
            for (LateServer server : lateServers) {
                server.close();
            }
        }
    }
}
