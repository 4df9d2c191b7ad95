package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.DeployFile;
import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * {@code run} started again beside the old process: to clients and workers it stays one scheduler.
 */
class UpgradeTest extends PlatformStage {
    private final List<Program> programs = new ArrayList<>();
    private final int first = Program.freePort();
    private final int second = Program.freePort();

    @AfterEach
    void endAll() {
        programs.forEach(Program::close);
    }

    private Program start(int mgmt, String... entries) throws IOException {
        return start(mgmt, List.of(), 0, entries);
    }

    private Program start(int mgmt, List<String> jvmFlags, int dataLimitKb, String... entries)
            throws IOException {
        Program started =
                new Program(
                        config(list(7, true, entries), mgmt(mgmt)),
                        Map.of(),
                        jvmFlags,
                        dataLimitKb,
                        "serve");
        programs.add(started);
        return Program.await("it is ready", () -> call(mgmt, "READY").startsWith("YES"), started);
    }

    private boolean markExists(int number) {
        return Files.exists(dir.resolve("damsonslip-mark-" + number));
    }

    /**
     * Starts a client that sends requests until the flag is set, with a connection per request or a
     * reused one, and collects failures.
     */
    private Thread load(
            List<String> failures,
            AtomicInteger served,
            boolean keep,
            String name,
            boolean[] stop) {
        Thread thread =
                new Thread(
                        () -> {
                            Peer client = null;
                            for (int i = 0; !stop[0]; i++) {
                                try {
                                    client = client == null ? Peer.connect(port) : client;
                                    Message answer =
                                            client.send(requestText(name + i, "read", "4000m"))
                                                    .message();
                                    if (answer.status() != 200) {
                                        failures.add(
                                                name
                                                        + i
                                                        + ": "
                                                        + answer.first()
                                                        + ", "
                                                        + answer.body());
                                    }
                                    served.incrementAndGet();
                                    if (!keep || "close".equals(answer.field("Connection"))) {
                                        client.close();
                                        client = null;
                                    }
                                    Thread.sleep(5);
                                } catch (IOException | InterruptedException e) {
                                    failures.add(name + i + ": " + e);
                                    client = null;
                                }
                            }
                        });
        thread.start();
        return thread;
    }

    @Test
    void upgradeUnderLoadRejectsNobody() throws Exception {
        upgradeUnderLoad(List.of(), 0);
    }

    /**
     * The smallest machine has 144 MB; each process gets half of it, with the JVM's flags in the
     * `run` line of the deployment file, which has to state every amount of memory that differs
     * from one kind of machine to another.
     */
    @Test
    void anUpgradeUnderLoadFitsOnTheSmallestMachine() throws Exception {
        upgradeUnderLoad(DeployFile.jvmFlags(), 72 * 1024);
    }

    private void upgradeUnderLoad(List<String> jvmFlags, int dataLimitKb) throws Exception {
        Work quick =
                (peer, job) -> {
                    Thread.sleep(20);
                    SERVE.on(peer, job);
                };
        String[] workers = {
            worker("a", quick), worker("b", quick), worker("c", quick), worker("d", quick)
        };
        Program old = start(first, jvmFlags, dataLimitKb, workers);
        assertEquals(
                200,
                exchange(requestText("first", "read", "4000m")).status(),
                "it has heard from discovery");
        List<String> failures = new java.util.concurrent.CopyOnWriteArrayList<>();
        AtomicInteger served = new AtomicInteger();
        boolean[] stop = new boolean[1];
        List<Thread> clients =
                List.of(
                        load(failures, served, false, "new-", stop),
                        load(failures, served, false, "more-", stop),
                        load(failures, served, true, "kept-", stop),
                        load(failures, served, true, "held-", stop));
        Thread.sleep(500);
        Program next = start(second, jvmFlags, dataLimitKb, workers);
        assertTrue(call(first, "READY").startsWith("YES"), "the old process serves until SIGTERM");
        old.terminate();
        assertEquals(143, old.exit(4));
        assertTrue(old.output().contains("a successor serves"), old.output());
        Thread.sleep(300);
        stop[0] = true;
        for (Thread client : clients) {
            client.join(5_000);
        }
        assertEquals(List.of(), failures);
        assertTrue(served.get() > 100, served + " served");
        assertEquals(200, exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").status());
        Program.await(
                "the new process is the only one",
                () -> next.output().contains("processes of this scheduler: 1"));
    }

    /**
     * A process that has not yet heard from discovery cannot forward requests and rejects what
     * exceeds its quota. Guards against a new process that accepts clients in that state while the
     * old one could serve them.
     */
    @Test
    void newProcessAcceptsNobodyBeforeItKnowsTheWorkers() throws Exception {
        String[] workers = {
            worker("a", SERVE), worker("b", SERVE), worker("c", SERVE), worker("d", SERVE)
        };
        start(first, workers);
        Peer.Server busyDiscovery =
                new Peer.Server(
                        0,
                        peer -> {
                            peer.message();
                            Thread.sleep(800);
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                    .chunk(list(7, false));
                            Thread.sleep(30_000);
                        });
        servers.add(busyDiscovery);
        for (int i = 0; i < 20; i++) {
            assertEquals(200, exchange(requestText("warm" + i, "read", "4000m")).status());
        }
        Path file = config(list(7, true, workers), mgmt(second));
        Files.writeString(
                file,
                Files.readString(file)
                        .replace(
                                "\"discovery\":\"127.0.0.1:" + discovery.port(),
                                "\"discovery\":\"127.0.0.1:" + busyDiscovery.port()));
        List<String> failures = new java.util.concurrent.CopyOnWriteArrayList<>();
        boolean[] stop = new boolean[1];
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(load(failures, new AtomicInteger(), false, "c" + i + "-", stop));
        }
        Program next = new Program(file, "serve");
        programs.add(next);
        Program.await("it is ready", () -> call(second, "READY").startsWith("YES"), next);
        Thread.sleep(300);
        stop[0] = true;
        for (Thread client : clients) {
            client.join(5_000);
        }
        assertEquals(List.of(), failures);
    }

    /**
     * During an upgrade two processes form one scheduler: a burst of connections gets no more
     * descriptors from both together than the configuration allows.
     */
    @Test
    void bothProcessesShareTheDescriptorLimitOfOne() throws Exception {
        String a = worker("a", SERVE);
        Path file = config(list(7, true, a), mgmt(first));
        Files.writeString(
                file, Files.readString(file).replace("\"sockets\":1024", "\"sockets\":300"));
        Program old = new Program(file, "serve");
        programs.add(old);
        Program.await("it is ready", () -> call(first, "READY").startsWith("YES"));
        Path other = config(list(7, true, a), mgmt(second));
        Files.writeString(
                other, Files.readString(other).replace("\"sockets\":1024", "\"sockets\":300"));
        Program next = new Program(other, "serve");
        programs.add(next);
        Program.await("the second process is ready", () -> call(second, "READY").startsWith("YES"));
        Program.await(
                "the old process knows of the second",
                () -> old.output().contains("processes of this scheduler: 2"));
        List<Peer> burst = new ArrayList<>();
        try {
            int mostSockets = 0;
            for (int i = 0; i < 600; i++) {
                burst.add(Peer.connect(port));
                mostSockets =
                        i % 20 == 0
                                ? Math.max(mostSockets, old.sockets() + next.sockets())
                                : mostSockets;
            }
            // of 150 each, 64 are for the program itself and 18 for the overflow; clients have 34,
            // however fast connections are admitted or closed
            Program.await(
                    "the burst uses up the clients' descriptors of both",
                    () -> old.sockets() + next.sockets() >= 2 * 34);
            mostSockets = Math.max(mostSockets, old.sockets() + next.sockets());
            // the overflow varies with the pace at which connections are admitted or closed;
            // undivided, the clients' part alone would be 2 x 100
            assertTrue(mostSockets <= 2 * (34 + 18 + 24), mostSockets + " sockets in both");
            Program.await(
                    "an ordinary client is served once the burst is admitted or closed",
                    () -> {
                        try {
                            return exchange(requestText("q" + System.nanoTime(), "read", "2000m"))
                                            .status()
                                    == 200;
                        } catch (IOException e) {
                            return false;
                        }
                    });
        } finally {
            for (Peer each : burst) {
                each.close();
            }
        }
    }

    /**
     * While both processes run, the old one still answers health checks on open connections with
     * 200, and it closes idle connections soon after SIGTERM.
     */
    @Test
    void oldProcessStopsListeningAtOnceAndStillAnswersHealthChecks() throws Exception {
        String a =
                worker(
                        "a",
                        (peer, job) -> {
                            Thread.sleep(1_000);
                            SERVE.on(peer, job);
                        });
        Program old = start(first, a);
        Peer idle = Peer.connect(port).send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals(200, idle.message().status());
        Peer asking = Peer.connect(port).send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
        assertEquals(200, asking.message().status());
        Peer busy = Peer.connect(port).send(requestText("q1", "submit", "4000m"));
        Program.await("it is sent", () -> jobs("a") == 1);
        start(second, a);
        old.terminate();
        Program.await(
                "the old process is no longer ready", () -> call(first, "READY").startsWith("NO"));
        Message health = asking.send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").message();
        assertEquals(200, health.status(), "the address is served, although by another process");
        assertEquals("close", health.field("Connection"));
        Thread.sleep(
                200); // it stops listening at SIGTERM; without a successor it would go on for 2.4 s
        for (int i = 0; i < 20; i++) {
            assertNull(
                    exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").field("Connection"),
                    "the new process takes all new connections");
        }
        assertEquals("r-q1", busy.message().body());
        assertTrue(idle.closed());
        assertEquals(143, old.exit(3));
    }

    /**
     * A disabled worker is avoided by both processes from the YES on, whichever of them was called,
     * and by the new one after the old one has ended.
     */
    @Test
    void disabledWorkersSurviveUpgradeAndApplyToBothProcesses() throws Exception {
        String a = worker("a", SERVE);
        String b = worker("b", SERVE);
        String c = worker("c", SERVE);
        Program old = start(first, a, b, c);
        assertTrue(call(first, "DISABLE a").startsWith("YES"));
        start(second, a, b, c);
        assertTrue(call(second, "DISABLE b").startsWith("YES"));
        Program.await(
                "the old process knows of the change",
                () -> call(first, "STATS").contains("router.targets_disabled:2|g"));
        for (int i = 0; i < 20; i++) {
            assertEquals(200, exchange(requestText("q" + i, "read", "2000m")).status());
        }
        assertEquals(0, jobs("a", "b"));
        assertTrue(call(first, "ENABLE b").startsWith("YES"));
        Program.await(
                "the new process knows of the change",
                () -> call(second, "STATS").contains("router.targets_disabled:1|g"));
        old.terminate();
        old.exit(4);
        assertTrue(call(second, "DISABLE c").startsWith("YES"));
        for (int i = 0; i < 5; i++) {
            assertEquals(200, exchange(requestText("r" + i, "read", "2000m")).status());
        }
        assertEquals(0, jobs("a"));
        assertTrue(jobs("b") > 0, "b is enabled again by the call to the old process");
    }

    @Test
    void failedStartOfSuccessorChangesNothing() throws Exception {
        String a = worker("a", SERVE);
        Program old = start(first, a);
        try (Program failing = new Program(config(list(7, true, a), mgmt(first)), "serve")) {
            assertEquals(1, failing.exit(), "the management address is in use");
            assertEquals(1, failing.output().lines().count(), failing.output());
        }
        assertEquals(200, exchange(requestText("q1", "read", "2000m")).status());
        old.terminate();
        Thread.sleep(300);
        assertEquals(
                200,
                exchange(requestText("q2", "read", "2000m")).status(),
                "without a successor the old process goes on listening");
        assertEquals(143, old.exit());
        assertFalse(old.output().contains("a successor serves"), old.output());
    }

    @Test
    void newProcessTakesOverWhenOldOneIsKilled() throws Exception {
        String a = worker("a", SERVE);
        Program old = start(first, a);
        Program next =
                start(second, a)
                        .awaitOutput("processes of this scheduler: 2, this one is number 1");
        old.awaitOutput("processes of this scheduler: 2, this one is number 0, a successor serves");
        old.kill();
        Program.await(
                "the new process knows that it is alone",
                () -> next.output().contains("processes of this scheduler: 1"));
        for (int i = 0; i < 10; i++) {
            assertEquals(200, exchange(requestText("q" + i, "read", "2000m")).status());
        }
    }

    /**
     * The new process dies after it has begun to serve: the old one serves everything again, and a
     * later upgrade replaces it as usual.
     */
    @Test
    void oldProcessTakesOverWhenNewOneDies() throws Exception {
        String a = worker("a", SERVE);
        Program old = start(first, a);
        Program next = start(second, a);
        old.awaitOutput("a successor serves");
        next.kill();
        old.awaitOutput("processes of this scheduler: 1");
        for (int i = 0; i < 10; i++) {
            assertEquals(200, exchange(requestText("q" + i, "read", "2000m")).status());
        }
        int third = Program.freePort();
        start(third, a);
        old.terminate();
        assertEquals(143, old.exit(3));
        assertEquals(200, exchange(requestText("last", "read", "2000m")).status());
        assertFalse(markExists(1), "the mark file of the dead process is removed");
    }

    @Test
    void servesAfterTwoUpgradesInARowAndSighupToBoth() throws Exception {
        String a = worker("a", SERVE);
        Program one = start(first, a);
        Program two = start(second, a);
        one.reload(null).awaitOutput("reload: discovery is at");
        two.reload(null).awaitOutput("reload: discovery is at");
        one.terminate();
        int third = Program.freePort();
        start(third, a);
        two.terminate();
        assertEquals(143, one.exit(4));
        assertEquals(143, two.exit(4));
        for (int i = 0; i < 5; i++) {
            assertEquals(200, exchange(requestText("q" + i, "read", "2000m")).status());
        }
    }

    @Test
    void logsCorruptBanFileInOneLineAndStarts() throws Exception {
        for (String text :
                List.of(
                        "damsonslip bans 0\nout a\nend\n",
                        "\u0000\u0001",
                        "damsonslip bans 1\nout a")) {
            Files.writeString(dir.resolve("damsonslip-bans"), text);
            try (Program started = start(Program.freePort(), worker("a", SERVE))) {
                assertEquals(
                        1,
                        started.output()
                                .lines()
                                .filter(line -> line.contains("bans cannot be used"))
                                .count(),
                        started.output());
                assertEquals(
                        200,
                        exchange(requestText("q" + text.hashCode(), "read", "2000m")).status());
            }
        }
        try (Stream<Path> files = Files.list(dir)) {
            assertTrue(files.noneMatch(file -> file.toString().endsWith(".part")));
        }
    }
}
