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

/** What operators do with a running scheduler, over its second address. */
class DailyRunningTest extends PlatformStage {
    private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final Work SLOW =
            (peer, job) -> {
                Thread.sleep(900);
                SERVE.on(peer, job);
            };
    private final int mgmt = Program.freePort();

    private void startWithMgmt(String... entries) throws IOException {
        program =
                new Program(config(list(7, true, entries), mgmt(mgmt)), "serve")
                        .awaitOutput("listens on");
        Program.await("it is ready", () -> call("READY").startsWith("YES"));
    }

    private void assertReady(String when) {
        String answer = call("READY");
        assertTrue(answer.startsWith("YES"), when + ": " + answer);
    }

    private String call(String line) {
        return call(mgmt, line);
    }

    private Map<String, String> figures() {
        String text = call("STATS");
        assertTrue(text.endsWith("\nEND\n"), text);
        Map<String, String> figures = new TreeMap<>();
        text.lines()
                .filter(line -> !line.equals("END"))
                .forEach(
                        line -> {
                            assertTrue(line.matches("router\\.[a-z._-]+:[0-9]+\\|[cg]"), line);
                            figures.put(
                                    line.substring("router.".length(), line.indexOf(':')),
                                    line.substring(line.indexOf(':') + 1));
                        });
        return figures;
    }

    @Test
    void figuresTellWhatHappenedByClass() throws Exception {
        startWithMgmt(worker("a", SERVE), worker("b", SLOW), worker("c", CLOSE_CONNECTION));
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
            Program.await("it is sent", () -> jobs("b") == 1);
            Map<String, String> figures = figures();
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
                    figures);
            assertEquals(200, client.message().status());
        }
        assertEquals("4|c", figures().get("success.read"));
        program.reload("{").awaitOutput("reload: config");
        Program.await(
                "a failed reload is counted", () -> figures().get("reload_failure").equals("1|c"));
    }

    /**
     * Refusals count as overload, and a query whose client has gone under nothing but not as open
     * for ever.
     */
    @Test
    void refusalsAndClientsThatHaveGoneAreToldApart() throws Exception {
        startWithMgmt(worker("a", NO_RESPONSE));
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            clients.add(Peer.connect(port).send(requestText("q" + i, "read", "4000m")));
        }
        Program.await("some are refused", () -> !figures().get("overload.read").equals("0|c"));
        Map<String, String> figures = figures();
        long refused = Long.parseLong(figures.get("overload.read").replace("|c", ""));
        assertEquals(60 - refused + "|g", figures.get("concurrent"));
        for (Peer client : clients) {
            client.close();
        }
        Program.await("nothing is open", () -> figures().get("concurrent").equals("0|g"));
        assertEquals("0|c", figures().get("error.read"));
        assertEquals("0|c", figures().get("success.read"));
    }

    @Test
    void whatIsNoCallGetsANoAndHoldersKeepNobodyWaiting() throws Exception {
        startWithMgmt(worker("a", SERVE));
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
        List<Peer> holders = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            holders.add(Peer.connect(mgmt).send(i % 2 == 0 ? "" : "REA"));
            if (i % 10 == 0) {
                assertReady("with " + holders.size() + " holders");
            }
        }
        for (int i = 0; i < 700; i++) {
            holders.add(Peer.connect(port));
        }
        assertReady("when clients have taken all the room they get");
        assertTrue(call("STATS").endsWith("END\n"));
        for (Peer holder : holders) {
            holder.close();
        }
        try (Peer silent = Peer.connect(mgmt).send("READ")) {
            assertEquals("NO no whole call came", silent.line());
            assertTrue(silent.closed());
        }
    }

    /**
     * A crowd comes while the process is held up, and the operator behind it: accepted at one go,
     * they pass all room.
     */
    @Test
    void aCrowdThatCameDuringAHoldUpDoesNotTurnTheOperatorAway() throws Exception {
        startWithMgmt(worker("a", SERVE));
        program.signal("STOP");
        List<Peer> holders = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            holders.add(Peer.connect(mgmt).send("REA"));
        }
        try (Peer operator = Peer.connect(mgmt).send("READY\n")) {
            program.signal("CONT");
            assertTrue(operator.line().startsWith("YES"));
        }
        for (Peer holder : holders) {
            holder.close();
        }
    }

    /**
     * Two bans, one call back; a list that says 'ready' does not lift it, and neither does a new
     * start.
     */
    @Test
    void aWorkerTakenOutGetsNothingUntilItIsPutBack() throws Exception {
        String a = worker("a", SERVE);
        startWithMgmt(a, worker("b", SERVE));
        Program.await("a watch", () -> watches.size() == 1);
        for (int i = 0; i < 8; i++) {
            assertEquals(200, exchange(requestText("w" + i, "read", "2000m")).status());
        }
        assertTrue(jobs("a") > 0, "it was in use");
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
        assertEquals("1|g", figures().get("targets_disabled"));
        assertTrue(call("ENABLE a").startsWith("YES"));
        assertEquals("0|g", figures().get("targets_disabled"));
        call("DISABLE b");
        assertEquals(200, exchange(requestText("last", "read", "2000m")).status());
        assertTrue(jobs("a") > before, "one call back is enough");
    }

    /** What a worker that is out hands back goes to another one, and is not repeated there. */
    @Test
    void aJobThatAWorkerHandsBackIsNotRepeatedThereOnceItIsOut() throws Exception {
        startWithMgmt(
                worker(
                        "a",
                        (peer, job) -> {
                            Thread.sleep(300);
                            REJECT.on(peer, job);
                        }),
                worker("b", SERVE));
        call("DISABLE b");
        try (Peer client = Peer.connect(port).send(requestText("q1", "submit", "4000m"))) {
            Program.await("it is sent", () -> jobs("a") == 1);
            call("DISABLE a");
            call("ENABLE b");
            assertEquals(200, client.message().status(), "handed back, and sent elsewhere");
        }
        assertEquals(1, jobs("a"));
        assertEquals(1, jobs("b"));
    }

    /**
     * A new configuration moves discovery, whose whole list names the worker as ready: it stays
     * out.
     */
    @Test
    void aBanOutlivesAReload() throws Exception {
        String a = worker("a", SERVE);
        String b = worker("b", SERVE);
        startWithMgmt(a, b);
        assertTrue(call("DISABLE a").startsWith("YES"));
        List<String> novelWatches = new CopyOnWriteArrayList<>();
        discovery = discovery(List.of(list(9, true, a, b)), novelWatches);
        program.reload(Files.readString(config(list(7, true, a, b), mgmt(mgmt))));
        Program.await("a watch at the new address", () -> novelWatches.size() == 1);
        Thread.sleep(200); // its list has come
        for (int i = 0; i < 12; i++) {
            assertEquals(200, exchange(requestText("q" + i, "read", "2000m")).status());
        }
        assertEquals(0, jobs("a"));
        assertEquals("1|g", figures().get("targets_disabled"));
        assertTrue(call("ENABLE a").startsWith("YES"));
        call("DISABLE b");
        assertEquals(
                200,
                exchange(requestText("last", "read", "2000m")).status(),
                "and the new list holds it");
        assertEquals(1, jobs("a"));
    }

    /**
     * The link to a worker comes up only after it was taken out: what it was opened for goes
     * elsewhere, unsent.
     */
    @Test
    void aBanThatMeetsALinkBeingOpenedHoldsForIt() throws Exception {
        List<Socket> fill = new ArrayList<>();
        try (ServerSocket busy = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            while (connects(busy, fill)) {
                assertTrue(fill.size() < 20, "its queue of connections is soon full");
            }
            String known =
                    list(7, true, entry("a", busy.getLocalPort(), "ready"), worker("b", SERVE));
            Path file = config(known, mgmt(mgmt));
            Files.writeString(
                    file,
                    Files.readString(file)
                            .replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":5"));
            program = new Program(file, "serve").awaitOutput("listens on");
            Program.await("it is ready", () -> call("READY").startsWith("YES"));
            call("DISABLE b");
            try (Peer client = Peer.connect(port).send(requestText("q1", "submit", "5000m"))) {
                Thread.sleep(300);
                assertTrue(call("DISABLE a").startsWith("YES"));
                call("ENABLE b");
                int bytes = 0;
                for (int i = 0; i <= fill.size(); i++) { // the last one is the program's
                    try (Socket taken = busy.accept()) {
                        taken.setSoTimeout(i < fill.size() ? 1 : 1_000);
                        bytes += taken.getInputStream().read() >= 0 ? 1 : 0;
                    } catch (SocketTimeoutException e) {
                        // nothing is written to it
                    }
                }
                assertEquals(
                        0, bytes, "a worker that is out got a job on a link that came up late");
                assertEquals("r-q1", client.message().body());
            }
        } finally {
            for (Socket socket : fill) {
                socket.close();
            }
        }
    }

    private static boolean connects(ServerSocket server, List<Socket> fill) throws IOException {
        Socket socket = new Socket();
        fill.add(socket);
        try {
            socket.connect(server.getLocalSocketAddress(), 200);
            return true;
        } catch (SocketTimeoutException e) {
            fill.remove(socket);
            socket.close();
            return false;
        }
    }

    /** A probe that was under way tells of room; it opens no door, and no further one is sent. */
    @Test
    void aBanThatMeetsAProbeStands() throws Exception {
        CountDownLatch out = new CountDownLatch(1);
        AtomicInteger probes = new AtomicInteger();
        Work probed =
                (peer, job) -> {
                    if (!job.first().startsWith("GET /load")) {
                        SERVE.on(peer, job);
                        return;
                    }
                    probes.incrementAndGet();
                    out.await(
                            200,
                            TimeUnit.MILLISECONDS); // its answer comes after the ban, and in time
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
        Program.await("a probe is under way", () -> probes.get() > 0);
        assertTrue(call("DISABLE a").startsWith("YES"));
        out.countDown();
        Thread.sleep(300); // whatever was on its way has come
        int before = jobs("a");
        for (int i = 0; i < 12; i++) {
            assertEquals(200, exchange(requestText("q" + i, "read", "2000m")).status());
        }
        Thread.sleep(800);
        assertEquals(before, jobs("a"), "neither a job nor a probe");
        call("ENABLE a");
        Program.await("it is probed again", () -> jobs("a") > before);
    }

    /**
     * The front hears no at once; who comes meanwhile is served; and nothing is held 4 s after the
     * call.
     */
    @Test
    void aDrainSendsClientsAwayAndCanBeTakenBack() throws Exception {
        startWithMgmt(worker("a", SLOW));
        Peer idle = Peer.connect(port).send(HEALTH);
        assertEquals(200, idle.message().status());
        Peer used = Peer.connect(port).send(HEALTH);
        used.message();
        Peer half = Peer.connect(port).send(HEALTH);
        half.message();
        assertTrue(call("DRAIN").startsWith("YES"));
        long drained = System.nanoTime();
        assertTrue(call("DRAIN").startsWith("YES"), "twice is as once");
        assertTrue(call("READY").startsWith("NO drained"));
        assertEquals(503, exchange(HEALTH).status());
        half.send(requestText("q3", "read", "4000m").substring(0, 40));
        Message fresh = exchange(requestText("q1", "read", "4000m"));
        assertEquals(200, fresh.status(), "new connections still come for a moment");
        assertEquals("close", fresh.field("Connection"));
        assertTrue(idle.closed());
        assertEquals(503, half.message().status(), "half a query is refused in time");
        assertTrue(used.closed());
        assertTrue(System.nanoTime() - drained < TimeUnit.MILLISECONDS.toNanos(2_500));
        assertTrue(call("UNDRAIN").startsWith("YES"));
        assertTrue(call("READY").startsWith("YES"));
        assertTrue(call("UNDRAIN").startsWith("YES"), "without a drain it changes nothing");
        try (Peer client = Peer.connect(port).send(HEALTH)) {
            assertEquals(200, client.message().status());
            Thread.sleep(700);
            assertEquals(
                    200,
                    client.send(requestText("q4", "read", "4000m")).message().status(),
                    "connections are kept again");
        }
    }

    /**
     * The ones that are left stay from then on, with what they asked for; and a further drain
     * counts from its own call.
     */
    @Test
    void anUndrainWhileConnectionsAreBeingClosedKeepsTheRest() throws Exception {
        startWithMgmt(worker("a", SLOW));
        List<Peer> idle = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Peer each = Peer.connect(port).send(HEALTH);
            assertEquals(200, each.message().status());
            idle.add(each);
        }
        assertTrue(call("DRAIN").startsWith("YES"));
        assertTrue(idle.get(0).closed(), "closing has begun");
        try (Peer late = Peer.connect(port);
                Peer busy = Peer.connect(port).send(requestText("q1", "read", "4000m"))) {
            Program.await("it is sent", () -> jobs("a") == 1);
            assertTrue(call("UNDRAIN").startsWith("YES"));
            assertTrue(call("READY").startsWith("YES"));
            Message answer = busy.message();
            assertEquals(200, answer.status());
            assertNull(answer.field("Connection"), "it may stay");
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
                    "it settles anew");
        }
    }

    @Test
    void aStopWhileDrainedAnswersEverything() throws Exception {
        startWithMgmt(worker("a", SLOW));
        Peer client = Peer.connect(port).send(requestText("q1", "read", "4000m"));
        Program.await("it is sent", () -> jobs("a") == 1);
        call("DRAIN");
        program.terminate();
        Program.await("it leaves", () -> call("UNDRAIN").startsWith("NO"));
        assertEquals(200, client.message().status());
        assertEquals(143, program.exit());
    }

    @Test
    void aBadOrTakenSecondAddressEndsTheProgramWithOnePlainLine() throws Exception {
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
