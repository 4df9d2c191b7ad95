package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Operator commands on the management address of a running scheduler. */
class DailyRunningTest extends PlatformStage {
    private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final Work SLOW =
            (peer, job) -> {
                Thread.sleep(900);
                SERVE.on(peer, job);
            };
    private final int mgmt = Program.freePort();

    private void startWithManagement(String... entries) throws IOException {
        program =
                new Program(config(list(7, true, entries), mgmt(mgmt)), "serve")
                        .awaitOutput("listens on");
        Program.await("the scheduler is ready", () -> call("READY").startsWith("YES"));
    }

    private void assertReady(String when) {
        String answer = call("READY");
        assertTrue(answer.startsWith("YES"), when + ": " + answer);
    }

    private String call(String line) {
        return call(mgmt, line);
    }

    private Map<String, String> stats() {
        String text = call("STATS");
        assertTrue(text.endsWith("\nEND\n"), text);
        Map<String, String> stats = new TreeMap<>();
        text.lines()
                .filter(line -> !line.equals("END"))
                .forEach(
                        line -> {
                            assertTrue(line.matches("router\\.[a-z._-]+:[0-9]+\\|[cg]"), line);
                            stats.put(
                                    line.substring("router.".length(), line.indexOf(':')),
                                    line.substring(line.indexOf(':') + 1));
                        });
        return stats;
    }

    @Test
    void reportsOutcomesByJobClass() throws Exception {
        startWithManagement(worker("a", SERVE), worker("b", SLOW), worker("c", CLOSE_CONNECTION));
        call("DISABLE b");
        call("DISABLE c");
        for (int i = 0; i < 3; i++) {
            assertEquals(200, exchange(requestText("q" + i, "read", "2000m")).status());
        }
        call("DISABLE a");
        call("ENABLE c");
        assertEquals(502, exchange(requestText("s1", "submit", "2000m")).status());
        call("DISABLE c");
        call("ENABLE b");
        try (Peer client = Peer.connect(port).send(requestText("r1", "read", "4000m"))) {
            Program.await("the job is sent", () -> jobs("b") == 1);
            Map<String, String> stats = stats();
            assertEquals(
                    Map.ofEntries(
                            Map.entry("success.read", "3|c"),
                            Map.entry("overload.read", "0|c"),
                            Map.entry("error.read", "0|c"),
                            Map.entry("success.submit", "0|c"),
                            Map.entry("overload.submit", "0|c"),
                            Map.entry("error.submit", "1|c"),
                            Map.entry("dispatches", "5|c"),
                            Map.entry("concurrent", "1|g"),
                            Map.entry("targets", "3|g"),
                            Map.entry("targets_disabled", "2|g"),
                            Map.entry("reload_success", "0|c"),
                            Map.entry("reload_failure", "0|c")),
                    stats);
            assertEquals(200, client.message().status());
        }
        assertEquals("4|c", stats().get("success.read"));
        program.reload("{").awaitOutput("reload: config");
        Program.await(
                "a failed reload is counted", () -> stats().get("reload_failure").equals("1|c"));
    }

    /**
     * Rejections count as overload. A query whose client has disconnected counts under no outcome
     * and does not stay in the gauge of concurrent queries.
     */
    @Test
    void countsRejectionsAsOverloadAndIgnoresDisconnectedClients() throws Exception {
        startWithManagement(worker("a", NO_RESPONSE));
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            clients.add(Peer.connect(port).send(requestText("q" + i, "read", "4000m")));
        }
        Program.await("some are rejected", () -> !stats().get("overload.read").equals("0|c"));
        Map<String, String> stats = stats();
        long rejected = Long.parseLong(stats.get("overload.read").replace("|c", ""));
        assertEquals(60 - rejected + "|g", stats.get("concurrent"));
        for (Peer client : clients) {
            client.close();
        }
        Program.await("no query is in flight", () -> stats().get("concurrent").equals("0|g"));
        assertEquals("0|c", stats().get("error.read"));
        assertEquals("0|c", stats().get("success.read"));
    }

    @Test
    void rejectsInvalidCommandsAndServesOperatorsBesideIdleConnections() throws Exception {
        startWithManagement(worker("a", SERVE));
        for (String line :
                List.of(
                        "HELLO",
                        "DISABLE",
                        "DISABLE nobody",
                        "ENABLE nobody",
                        "READY now",
                        "x".repeat(2_000))) {
            assertTrue(call(line).matches("NO [A-Za-z ]+.*\n"), line + ": " + call(line));
        }
        List<Peer> idleConnections = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            idleConnections.add(Peer.connect(mgmt).send(i % 2 == 0 ? "" : "REA"));
            if (i % 10 == 0) {
                assertReady("with " + idleConnections.size() + " idle connections");
            }
        }
        for (int i = 0; i < 700; i++) {
            idleConnections.add(Peer.connect(port));
        }
        assertReady("when clients have taken all the connections that they may");
        assertTrue(call("STATS").endsWith("END\n"));
        for (Peer connection : idleConnections) {
            connection.close();
        }
        try (Peer silent = Peer.connect(mgmt).send("READ")) {
            assertEquals("NO no whole call came", silent.line());
            assertTrue(silent.closed());
        }
    }

    /**
     * Guards against a stopped process that, once resumed, accepts a burst of management
     * connections in one go, exceeds its connection limit and rejects the operator that connected
     * last.
     */
    @Test
    void answersOperatorBehindABurstOfConnectionsAfterAStall() throws Exception {
        startWithManagement(worker("a", SERVE));
        program.signal("STOP");
        List<Peer> idleConnections = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            idleConnections.add(Peer.connect(mgmt).send("REA"));
        }
        try (Peer operator = Peer.connect(mgmt).send("READY\n")) {
            program.signal("CONT");
            assertTrue(operator.line().startsWith("YES"));
        }
        for (Peer connection : idleConnections) {
            connection.close();
        }
    }

    /**
     * Disabling twice is undone by a single ENABLE. Neither a list that says {@code ready} nor a
     * restart of the worker enables it again.
     */
    @Test
    void sendsNothingToADisabledWorkerUntilItIsEnabled() throws Exception {
        String a = worker("a", SERVE);
        startWithManagement(a, worker("b", SERVE));
        Program.await("a watch", () -> watches.size() == 1);
        for (int i = 0; i < 8; i++) {
            assertEquals(200, exchange(requestText("w" + i, "read", "2000m")).status());
        }
        assertTrue(jobs("a") > 0, "worker a was used before");
        assertTrue(call("DISABLE a").startsWith("YES"));
        int before = jobs("a");
        assertTrue(call("DISABLE a").startsWith("YES"));
        listUpdates.add(
                list(
                        8,
                        true,
                        a.replace(
                                "\"startedAtMs\":0",
                                "\"startedAtMs\":" + System.currentTimeMillis())));
        Thread.sleep(100);
        listUpdates.add(list(9, false, worker("b", SERVE)));
        for (int i = 0; i < 12; i++) {
            assertEquals(200, exchange(requestText("q" + i, "read", "2000m")).status());
        }
        assertEquals(before, jobs("a"));
        assertEquals("1|g", stats().get("targets_disabled"));
        assertTrue(call("ENABLE a").startsWith("YES"));
        assertEquals("0|g", stats().get("targets_disabled"));
        call("DISABLE b");
        assertEquals(200, exchange(requestText("last", "read", "2000m")).status());
        assertTrue(jobs("a") > before, "one ENABLE is enough");
    }

    /**
     * A job that a disabled worker rejects is retried on another worker and not on the disabled
     * one.
     */
    @Test
    void retriesElsewhereWhenADisabledWorkerRejectsAJob() throws Exception {
        startWithManagement(
                worker(
                        "a",
                        (peer, job) -> {
                            Thread.sleep(300);
                            REJECT.on(peer, job);
                        }),
                worker("b", SERVE));
        call("DISABLE b");
        try (Peer client = Peer.connect(port).send(requestText("q1", "submit", "4000m"))) {
            Program.await("the job is sent", () -> jobs("a") == 1);
            call("DISABLE a");
            call("ENABLE b");
            assertEquals(200, client.message().status(), "rejected, and retried on another worker");
        }
        assertEquals(1, jobs("a"));
        assertEquals(1, jobs("b"));
    }

    /**
     * Guards against a reload that moves discovery and enables a disabled worker, because the
     * complete list from the new address names it as ready.
     */
    @Test
    void keepsWorkerDisabledAcrossReload() throws Exception {
        String a = worker("a", SERVE);
        String b = worker("b", SERVE);
        startWithManagement(a, b);
        assertTrue(call("DISABLE a").startsWith("YES"));
        List<String> newWatches = new CopyOnWriteArrayList<>();
        discovery = discovery(List.of(list(9, true, a, b)), newWatches);
        program.reload(Files.readString(config(list(7, true, a, b), mgmt(mgmt))));
        Program.await("a watch at the new address", () -> newWatches.size() == 1);
        Thread.sleep(200); // until its list has arrived
        for (int i = 0; i < 12; i++) {
            assertEquals(200, exchange(requestText("q" + i, "read", "2000m")).status());
        }
        assertEquals(0, jobs("a"));
        assertEquals("1|g", stats().get("targets_disabled"));
        assertTrue(call("ENABLE a").startsWith("YES"));
        call("DISABLE b");
        assertEquals(
                200,
                exchange(requestText("last", "read", "2000m")).status(),
                "the new list contains worker a");
        assertEquals(1, jobs("a"));
    }

    /**
     * The worker is disabled while a connection to it is being opened: the job that it was opened
     * for goes to another worker and nothing is written to it.
     */
    @Test
    void sendsNothingOnAConnectionThatOpensAfterItsWorkerIsDisabled() throws Exception {
        List<Socket> backlog = new ArrayList<>();
        try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            while (connects(busy, backlog)) {
                assertTrue(backlog.size() < 20, "the accept queue fills up soon");
            }
            String known =
                    list(7, true, entry("a", busy.getLocalPort(), "ready"), worker("b", SERVE));
            Path file = config(known, mgmt(mgmt));
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":5"));
            program = new Program(file, "serve").awaitOutput("listens on");
            Program.await("the scheduler is ready", () -> call("READY").startsWith("YES"));
            call("DISABLE b");
            try (Peer client = Peer.connect(port).send(requestText("q1", "submit", "5000m"))) {
                Thread.sleep(300);
                assertTrue(call("DISABLE a").startsWith("YES"));
                call("ENABLE b");
                int bytes = 0;
                for (int i = 0; i <= backlog.size(); i++) { // the last is the scheduler's
                    try (Socket taken = busy.accept()) {
                        taken.setSoTimeout(i < backlog.size() ? 1 : 1_000);
                        bytes += taken.getInputStream().read() >= 0 ? 1 : 0;
                    } catch (SocketTimeoutException e) {
                        // nothing is written to it
                    }
                }
                assertEquals(
                        0, bytes, "a disabled worker got a job on a connection that opened late");
                assertEquals("r-q1", client.message().body());
            }
        } finally {
            for (Socket socket : backlog) {
                socket.close();
            }
        }
    }

    private static boolean connects(ServerSocket server, List<Socket> backlog) throws IOException {
        Socket socket = new Socket();
        backlog.add(socket);
        try {
            socket.connect(server.getLocalSocketAddress(), 200);
            return true;
        } catch (SocketTimeoutException e) {
            backlog.remove(socket);
            socket.close();
            return false;
        }
    }

    /**
     * The worker is disabled while a probe is in flight, and its answer reports capacity: the
     * worker stays disabled and gets no further probe.
     */
    @Test
    void keepsWorkerDisabledWhenAProbeInFlightReportsCapacity() throws Exception {
        CountDownLatch disabled = new CountDownLatch(1);
        AtomicInteger probes = new AtomicInteger();
        Work probed =
                (peer, job) -> {
                    if (!job.first().startsWith("GET /load")) {
                        SERVE.on(peer, job);
                        return;
                    }
                    probes.incrementAndGet();
                    disabled.await(
                            200, TimeUnit.MILLISECONDS); // it answers after DISABLE, and in time
                    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{\"x0\":9}");
                };
        Path file = config(list(7, true, worker("a", probed), worker("b", SERVE)), mgmt(mgmt));
        Files.writeString(
                file,
                Files.readString(file)
                        .replace(
                                "\"limits\":{\"send_cap\"",
                                "\"reporting\":{\"how\":\"pull\"},\"limits\":{\"may_probe\":true,\"send_cap\""));
        program = new Program(file, "serve").awaitOutput("listens on");
        Program.await("a probe is in flight", () -> probes.get() > 0);
        assertTrue(call("DISABLE a").startsWith("YES"));
        disabled.countDown();
        Thread.sleep(300); // until everything in flight has arrived
        int before = jobs("a");
        for (int i = 0; i < 12; i++) {
            assertEquals(200, exchange(requestText("q" + i, "read", "2000m")).status());
        }
        Thread.sleep(800);
        assertEquals(before, jobs("a"), "neither a job nor a probe");
        call("ENABLE a");
        Program.await("worker a is probed again", () -> jobs("a") > before);
    }

    /**
     * On DRAIN the health check fails at once and new clients are still served for a moment; a
     * partial request is rejected and all connections are closed within 2.5 s, of the 4 s that are
     * allowed. UNDRAIN restores normal service.
     */
    @Test
    void drainClosesConnectionsAndUndrainRestoresService() throws Exception {
        startWithManagement(worker("a", SLOW));
        Peer idle = Peer.connect(port).send(HEALTH);
        assertEquals(200, idle.message().status());
        Peer used = Peer.connect(port).send(HEALTH);
        used.message();
        Peer half = Peer.connect(port).send(HEALTH);
        half.message();
        assertTrue(call("DRAIN").startsWith("YES"));
        long drained = System.nanoTime();
        assertTrue(call("DRAIN").startsWith("YES"), "a second DRAIN changes nothing");
        assertTrue(call("READY").startsWith("NO drained"));
        assertEquals(503, exchange(HEALTH).status());
        half.send(requestText("q3", "read", "4000m").substring(0, 40));
        Message fresh = exchange(requestText("q1", "read", "4000m"));
        assertEquals(200, fresh.status(), "new connections are still served for a moment");
        assertEquals("close", fresh.field("Connection"));
        assertTrue(idle.closed());
        assertEquals(503, half.message().status(), "a partial request is rejected in time");
        assertTrue(used.closed());
        assertTrue(System.nanoTime() - drained < TimeUnit.MILLISECONDS.toNanos(2_500));
        assertTrue(call("UNDRAIN").startsWith("YES"));
        assertTrue(call("READY").startsWith("YES"));
        assertTrue(call("UNDRAIN").startsWith("YES"), "UNDRAIN without a drain changes nothing");
        try (Peer client = Peer.connect(port).send(HEALTH)) {
            assertEquals(200, client.message().status());
            Thread.sleep(700);
            assertEquals(
                    200,
                    client.send(requestText("q4", "read", "4000m")).message().status(),
                    "connections are kept open again");
        }
    }

    /**
     * UNDRAIN while connections are being closed: those still open stay open, with their requests.
     * A further DRAIN starts its own settling time.
     */
    @Test
    void undrainKeepsTheConnectionsThatAreStillOpen() throws Exception {
        startWithManagement(worker("a", SLOW));
        List<Peer> idle = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Peer each = Peer.connect(port).send(HEALTH);
            assertEquals(200, each.message().status());
            idle.add(each);
        }
        assertTrue(call("DRAIN").startsWith("YES"));
        assertTrue(idle.get(0).closed(), "connections are being closed");
        try (Peer late = Peer.connect(port);
                Peer busy = Peer.connect(port).send(requestText("q1", "read", "4000m"))) {
            Program.await("the job is sent", () -> jobs("a") == 1);
            assertTrue(call("UNDRAIN").startsWith("YES"));
            assertTrue(call("READY").startsWith("YES"));
            Message answer = busy.message();
            assertEquals(200, answer.status());
            assertNull(answer.field("Connection"), "the connection is kept open");
            Thread.sleep(
                    800); // an idle one would have been closed after 0.3 s, and all of them 1.6 s
            // after the first call
            assertEquals(200, late.send(requestText("q2", "read", "4000m")).message().status());
            assertEquals(200, busy.send(HEALTH).message().status());
            long again = System.nanoTime();
            assertTrue(call("DRAIN").startsWith("YES"));
            assertTrue(busy.closed() && late.closed());
            assertTrue(
                    System.nanoTime() - again > TimeUnit.MILLISECONDS.toNanos(450),
                    "the second drain has its own settling time");
        }
    }

    @Test
    void answersPendingRequestsWhenStoppedWhileDrained() throws Exception {
        startWithManagement(worker("a", SLOW));
        Peer client = Peer.connect(port).send(requestText("q1", "read", "4000m"));
        Program.await("the job is sent", () -> jobs("a") == 1);
        call("DRAIN");
        program.terminate();
        Program.await("the scheduler is shutting down", () -> call("UNDRAIN").startsWith("NO"));
        assertEquals(200, client.message().status());
        assertEquals(143, program.exit());
    }

    @Test
    void exitsWithOneErrorLineWhenManagementAddressIsUnusable() throws Exception {
        try (ServerSocket taken = new ServerSocket(0)) {
            for (String address :
                    List.of("nowhere", "127.0.0.1:" + taken.getLocalPort(), "127.0.0.1:99999")) {
                try (Program failing =
                        new Program(
                                config(list(7, true), "\"mgmt\":\"" + address + "\","), "serve")) {
                    assertEquals(1, failing.exit(), address);
                    assertEquals(1, failing.output().lines().count(), failing.output());
                    assertTrue(
                            failing.output().startsWith("damsonslip: config: mgmt: "),
                            failing.output());
                }
            }
        }
    }
}
