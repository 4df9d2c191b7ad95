package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Base class of tests that run the program and play its clients, workers and discovery. */
abstract class PlatformStage {
    /** How a worker handles a completely received job. */
    interface Work {
        void on(Peer peer, Message job) throws IOException, InterruptedException;
    }

    static final Work SERVE =
            (peer, job) ->
                    peer.answerLines(
                            state(job, "started", ""),
                            state(
                                    job,
                                    "done",
                                    ",\"result\":\"r-"
                                            + job.field("X-Correlation-Id")
                                            + "\",\"load\":{\"x0\":3}"));
    static final Work REJECT =
            (peer, job) ->
                    peer.send("HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    static final Work CLOSE_CONNECTION = (peer, job) -> peer.close();
    static final Work NO_RESPONSE = (peer, job) -> Thread.sleep(30_000);

    /** The body size of a {@link #largeRequest} in bytes. */
    static final int LARGE_BODY_BYTES = 44_000;

    /**
     * Connections that {@link #openIdleConnections} opens: fewer than the jobs sent at once to a
     * worker whose capacity is unknown.
     */
    static final int IDLE_CONNECTIONS = 3;

    static final int WAITING_REQUESTS = 4;

    /** The ways in which a client disconnects. */
    enum Disconnect {
        CLOSE {
            @Override
            void by(Peer client) throws IOException {
                client.close();
            }
        },
        HALF_CLOSE {
            @Override
            void by(Peer client) throws IOException {
                client.endOutput();
            }
        },
        RESET {
            @Override
            void by(Peer client) throws IOException {
                client.reset();
            }
        };

        abstract void by(Peer client) throws IOException;
    }

    @TempDir Path dir;
    final Map<String, List<Message>> receivedJobs = new ConcurrentHashMap<>();
    final List<Peer.Server> servers = new ArrayList<>();
    final List<String> listUpdates = new CopyOnWriteArrayList<>();
    final List<String> watches = new CopyOnWriteArrayList<>();
    final int port = Program.freePort();
    final int console = Program.freePort();
    private final List<Socket> dead = new ArrayList<>();

    /** Once open, a {@link #memoryLimited} worker reports free memory. */
    final CountDownLatch memoryFreed = new CountDownLatch(1);

    private final CountDownLatch together = new CountDownLatch(IDLE_CONNECTIONS);

    /** Reports in its answers how much memory is free. */
    final Work memoryLimited =
            (peer, job) -> {
                String id = job.field("X-Correlation-Id");
                peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .chunk(state(job, "started", ""));
                if (id.startsWith("w")) { // each on its own connection
                    together.countDown();
                    together.await();
                } else if (id.equals("gate")) {
                    memoryFreed.await();
                }
                peer.chunk(
                                state(
                                        job,
                                        "done",
                                        ",\"result\":\"r-"
                                                + id
                                                + "\",\"load\":{\"x0\":8,\"x1\":"
                                                + freeMemory()
                                                + "}"))
                        .send("0\r\n\r\n");
            };

    Peer.Server discovery;
    Program program;

    static String state(Message job, String state, String more) {
        return "{\"id\":\""
                + job.field("X-Correlation-Id")
                + "\",\"from\":\"w\",\"state\":\""
                + state
                + "\""
                + more
                + "}";
    }

    @BeforeEach
    void discovery() throws IOException {
        discovery = discovery(listUpdates, watches);
    }

    Peer.Server discovery(List<String> listUpdates, List<String> watches) throws IOException {
        Peer.Server server =
                new Peer.Server(
                        0,
                        peer -> {
                            Message asked = peer.message();
                            int told = watches.isEmpty() ? 0 : listUpdates.size();
                            watches.add(asked.first());
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            if (told == listUpdates.size()) {
                                peer.chunk(
                                        list(7, false)); // the first object holds what has changed,
                                // be it nothing
                            }
                            for (int i = 1; true; i++) {
                                while (listUpdates.size() > told) {
                                    peer.chunk(listUpdates.get(told++));
                                }
                                if (i % 50 == 0) {
                                    peer.chunk("");
                                }
                                Thread.sleep(20);
                            }
                        });
        servers.add(server);
        return server;
    }

    /** Discovery without list updates that fails all calls while the condition holds. */
    Peer.Server discoveryFailingWhile(BooleanSupplier failing) throws IOException {
        Peer.Server server =
                new Peer.Server(
                        0,
                        peer -> {
                            peer.message();
                            if (failing.getAsBoolean()) {
                                failCall(peer);
                                return;
                            }
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                    .chunk(list(7, false));
                            for (int i = 0; i < 30; i++) {
                                Thread.sleep(1_000);
                                peer.chunk("");
                            }
                        });
        servers.add(server);
        return server;
    }

    /** How an overloaded discovery fails a call: 503 after two seconds. */
    static void failBusy(Peer peer) throws IOException, InterruptedException {
        peer.message();
        failCall(peer);
    }

    static void failCall(Peer peer) throws IOException, InterruptedException {
        Thread.sleep(2_000);
        peer.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    }

    @AfterEach
    void end() throws IOException {
        if (program != null) {
            program.close();
        }
        for (Peer.Server server : servers) {
            server.close();
        }
        for (Socket socket : dead) {
            socket.close();
        }
    }

    /**
     * A port that refuses connections for the whole test. It stays bound, because a port that is
     * merely free may be taken by another process.
     */
    int deadPort() throws IOException {
        Socket socket = new Socket();
        dead.add(socket);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        return socket.getLocalPort();
    }

    /** Starts a worker and returns its entry for the endpoint list. */
    String worker(String id, Work work) throws IOException {
        List<Message> jobs = receivedJobs.computeIfAbsent(id, w -> new CopyOnWriteArrayList<>());
        Peer.Server server =
                new Peer.Server(
                        0,
                        peer -> {
                            while (true) {
                                Message job = peer.message();
                                jobs.add(job);
                                work.on(peer, job);
                            }
                        });
        servers.add(server);
        return entry(id, server.port(), "ready");
    }

    static String entry(String id, int port, String lifecycle) {
        return "{\"instanceId\":\""
                + id
                + "\",\"hostPort\":\"127.0.0.1:"
                + port
                + "\",\"zone\":\"z\",\"machineType\":\"k\","
                + "\"cell\":0,\"lifecycle\":\""
                + lifecycle
                + "\",\"weight\":1.0,\"startedAtMs\":0}";
    }

    static String list(int generation, boolean whole, String... entries) {
        return "{\"generation\":"
                + generation
                + ",\"reset\":"
                + whole
                + ",\"instances\":["
                + String.join(",", entries)
                + "]}";
    }

    void start(String... entries) throws IOException {
        program = new Program(config(list(7, true, entries)), "serve").awaitOutput("listens on");
    }

    /** Starts the program with a console that reports its counters. */
    void startWithConsole(String... entries) throws IOException {
        startWithConsole(UnaryOperator.identity(), entries);
    }

    /** Starts the program with a console and modified settings. */
    void startWithConsole(UnaryOperator<String> settings, String... entries) throws IOException {
        Path file = config(list(7, true, entries));
        Files.writeString(file, settings.apply(Files.readString(file)));
        program =
                new Program(
                                file,
                                Map.of("DAMSONSLIP_CONSOLE", "127.0.0.1:" + console),
                                List.of(),
                                "serve")
                        .awaitOutput("listens on");
    }

    /** Whether a counter has this value; only after {@link #startWithConsole}. */
    boolean counts(String name, int figure) {
        return countsAs(name + " +" + figure);
    }

    /** Whether anything was counted under this name. */
    boolean hasCounter(String name) {
        return countsAs(name + " +[0-9]+");
    }

    private boolean countsAs(String pattern) {
        try (Peer asker = Peer.connect(console).send("counters\n")) {
            for (String line = asker.line();
                    line != null && !line.equals(".");
                    line = asker.line()) {
                if (line.matches(pattern)) {
                    return true;
                }
            }
            return false;
        } catch (IOException e) {
            return false; // the console starts to listen shortly after the client port
        }
    }

    Path config(String known) throws IOException {
        return config(known, "");
    }

    /** A configuration with additional leading keys. */
    Path config(String known, String more) throws IOException {
        return Program.file(
                dir,
                "{"
                        + more
                        + "\"name\":\"n1\",\"listen\":\"127.0.0.1:"
                        + port
                        + "\",\"discovery\":\"127.0.0.1:"
                        + discovery.port()
                        + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":1024},\"known\":"
                        + known
                        + ",\"settings\":{\"instances\":1,\"azs\":[\"z\"],\"shapes\":[\"k\"],"
                        + "\"registry_mode\":\"on_request\",\"lanes\":["
                        + lane("read", "repeatable")
                        + ","
                        + lane("submit", "once")
                        + "],\"limits\":{\"send_cap\":5,"
                        + "\"may_cancel\":true,\"conn_idle_s\":2,\"dial_timeout_s\":0.25},\"guarantees\":{\"drain_grace_s\":0.5},"
                        + "\"specifics\":{\"tells_start\":true}}}");
    }

    private static String lane(String name, String semantics) {
        return "{\"name\":\""
                + name
                + "\",\"aim_s\":0.5,\"hard_limit_s\":5,\"semantics\":\""
                + semantics
                + "\",\"value\":1}";
    }

    static String requestText(String id, String lane, String timeLeft) {
        return "POST /api?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Service-Class: "
                + lane
                + "\r\nX-Time-Left: "
                + timeLeft
                + "\r\nIdempotency-Key: k-"
                + id
                + "\r\nContent-Length: 4\r\n\r\nbody";
    }

    /** A non-idempotent request with a body of this many bytes. */
    static String largeRequest(String id, int bytes) {
        return requestText(id, "submit", "4000m")
                .replace(
                        "Content-Length: 4\r\n\r\nbody",
                        "Content-Length: " + bytes + "\r\n\r\n" + "x".repeat(bytes));
    }

    /**
     * Settings under which no waiting request is rejected as late and idle connections stay open
     * for a whole test.
     */
    static String longQueueWaits(String file) {
        return file.replace("\"conn_idle_s\":2", "\"conn_idle_s\":20")
                .replace("\"aim_s\":0.5", "\"aim_s\":5")
                .replace("\"once\"", "\"repeatable\"");
    }

    int freeMemory() {
        return memoryFreed.getCount() == 0 ? 99 : 0;
    }

    /**
     * Waits for the first endpoint list update: until then the program rejects requests beyond its
     * quota. Only after {@link #startWithConsole}.
     */
    void awaitDiscovery() {
        Program.await("it has heard discovery", () -> hasCounter("list_updates"), program);
    }

    /**
     * Opens idle connections to the worker, on which an attempt starts as soon as it is decided.
     */
    void openIdleConnections() throws IOException {
        List<Peer> others = new ArrayList<>();
        for (int i = 0; i < IDLE_CONNECTIONS; i++) {
            others.add(Peer.connect(port).send(requestText("w" + i, "submit", "2000m")));
        }
        for (Peer other : others) {
            assertEquals(200, other.message().status());
        }
    }

    /**
     * Connects clients whose requests wait for a worker's memory and are followed by these
     * pipelined requests.
     */
    List<Peer> sendWaitingRequests(int count, String pipelined) throws IOException {
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String request =
                    requestText("q" + i, "submit", "4500m")
                            .replace("Host:", "X-Facts: memory=5\r\nHost:");
            clients.add(Peer.connect(port).send(request + pipelined));
        }
        int before = (int) ids("a").stream().filter(Objects::nonNull).count(); // probes have none
        Program.await("all are taken", () -> counts("queries_taken", before + count));
        assertTrue(counts("executions_sent", before), "and none is sent on");
        return clients;
    }

    /**
     * Starts the program with waiting requests and one request in flight, whose answer reports free
     * memory once {@link #memoryFreed} opens.
     */
    List<Peer> startWithWaitingRequests(String pipelined) throws IOException {
        startWithConsole(PlatformStage::longQueueWaits, worker("a", memoryLimited));
        awaitDiscovery();
        openIdleConnections();
        Peer.connect(port).send(requestText("gate", "submit", "4500m"));
        Program.await("one is out", () -> jobs("a") == IDLE_CONNECTIONS + 1);
        return sendWaitingRequests(WAITING_REQUESTS, pipelined);
    }

    /** The ids of the waiting requests that were forwarded to the worker. */
    List<String> forwardedWaitingIds() {
        return ids("a").stream().filter(id -> id != null && id.startsWith("q")).toList();
    }

    List<String> ids(String worker) {
        return receivedJobs.get(worker).stream()
                .map(message -> message.field("X-Correlation-Id"))
                .toList();
    }

    /** Pipelined requests: one, followed by this many more. */
    static String pipelinedRequests(String id, int count) {
        StringBuilder text = new StringBuilder(requestText(id, "read", "4000m"));
        for (int i = 0; i < count; i++) {
            text.append(requestText(id + "-" + i, "read", "4000m"));
        }
        return text.toString();
    }

    Message exchange(String text) throws IOException {
        try (Peer client = Peer.connect(port)) {
            return client.send(text).message();
        }
    }

    int jobs(String... workers) {
        return List.of(workers).stream().mapToInt(w -> receivedJobs.get(w).size()).sum();
    }

    static String mgmt(int port) {
        return "\"mgmt\":\"127.0.0.1:" + port + "\",";
    }

    /** Sends a line and returns the complete answer, which has to arrive within a second. */
    static String call(int port, String line) {
        long before = System.nanoTime();
        try (Peer caller = Peer.connect(port).send(line + "\n")) {
            StringBuilder told = new StringBuilder();
            for (String next = caller.line(); next != null; next = caller.line()) {
                told.append(next).append('\n');
            }
            assertTrue(
                    System.nanoTime() - before < TimeUnit.SECONDS.toNanos(1),
                    line + " took a second");
            return told.toString();
        } catch (IOException e) {
            return e.toString();
        }
    }
}
