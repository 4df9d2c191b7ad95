package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Discovery fails from the first moment on, in various ways; queries are served from the last known
 * list.
 */
class DiscoveryTroubleTest extends PlatformStage {
    enum DiscoveryFault {
        BUSY {
            @Override
            void on(Peer peer, String list) throws IOException {
                peer.message();
                peer.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
            }
        },
        RESETS {
            @Override
            void on(Peer peer, String list) {
                // the connection is closed with its request unread
            }
        },
        HANGS {
            @Override
            void on(Peer peer, String list) throws IOException, InterruptedException {
                peer.message();
                Thread.sleep(30_000);
            }
        },
        HALF_A_LIST {
            @Override
            void on(Peer peer, String list) throws IOException {
                peer.message();
                peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                peer.send(
                        String.format(
                                "%x\r\n%s\r\n",
                                list.length() / 2, list.substring(0, list.length() / 2)));
            }
        };

        abstract void on(Peer peer, String list) throws IOException, InterruptedException;
    }

    /**
     * Bound for an answer with a deadline of 1.5 s, with allowance for a busy machine; a query that
     * waits for discovery never gets its answer.
     */
    private static final long DEADLINE_AND_MORE_NS = 3_500_000_000L;

    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger mostOpen = new AtomicInteger();

    private void startFaultyDiscovery(DiscoveryFault fault, String list) throws IOException {
        discovery =
                new Peer.Server(
                        0,
                        peer -> {
                            calls.incrementAndGet();
                            mostOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
                            try {
                                fault.on(peer, list);
                            } finally {
                                open.decrementAndGet();
                            }
                        });
        servers.add(discovery);
    }

    /**
     * Polls are spaced out and sent one at a time. A reload moves them to another address, whose
     * list then takes effect at once.
     */
    @ParameterizedTest
    @EnumSource(DiscoveryFault.class)
    void servesFromLastKnownListUntilDiscoveryAnswers(DiscoveryFault fault) throws Exception {
        String a = worker("a", SERVE);
        String b = worker("b", SERVE);
        startFaultyDiscovery(fault, list(9, true, b));
        start(a);
        assertEquals("r-q1", exchange(requestText("q1", "submit", "2000m")).body());
        Thread.sleep(1_800);
        assertTrue(calls.get() >= 1 && calls.get() <= 5, calls + " calls in two seconds");
        assertEquals(1, mostOpen.get(), "one call at a time");
        assertEquals("r-q2", exchange(requestText("q2", "submit", "2000m")).body());
        assertEquals(2, jobs("a"));
        List<String> newWatches = new ArrayList<>();
        discovery = discovery(List.of(list(9, true, b)), newWatches);
        program.reload(Files.readString(config(list(7, true, a))))
                .awaitOutput("reload: discovery is at");
        Program.await("the new list takes effect", () -> served("b"));
        int before = calls.get();
        Thread.sleep(1_000);
        assertEquals(before, calls.get(), "the old address is no longer called");
    }

    private boolean served(String worker) {
        try {
            String id = "n" + System.nanoTime();
            return exchange(requestText(id, "submit", "2000m")).status() == 200
                    && receivedJobs.get(worker).size() > 0;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** A shutdown does not wait for discovery either. */
    @ParameterizedTest
    @EnumSource(
            value = DiscoveryFault.class,
            names = {"HANGS", "BUSY"})
    void answersPendingRequestsWhenStoppedWhileDiscoveryFails(DiscoveryFault fault)
            throws Exception {
        String a =
                worker(
                        "a",
                        (peer, job) -> {
                            Thread.sleep(700);
                            SERVE.on(peer, job);
                        });
        startFaultyDiscovery(fault, "");
        start(a);
        try (Peer client = Peer.connect(port).send(requestText("q1", "submit", "3000m"))) {
            Program.await("the job is sent", () -> jobs("a") == 1);
            program.terminate();
            assertEquals("r-q1", client.message().body());
        }
        assertEquals(143, program.exit());
    }

    /**
     * Without a known worker a query does not wait for discovery but is rejected; the first list
     * with a worker starts service.
     */
    @Test
    void rejectsQueriesAtOnceWhileNoWorkerIsKnown() throws Exception {
        start();
        long before = System.nanoTime();
        Message answer = exchange(requestText("q1", "submit", "1500m"));
        assertTrue(System.nanoTime() - before < DEADLINE_AND_MORE_NS, "answered by its deadline");
        assertEquals(503, answer.status());
        assertNotNull(answer.field("Retry-After"));
        listUpdates.add(list(8, true, worker("a", SERVE)));
        Program.await("the list takes effect", () -> served("a"));
    }

    /**
     * None of the workers of a very old list is still running. A query may discover that, but is
     * answered by its deadline.
     */
    @Test
    void answersByDeadlineWhenAllKnownWorkersAreDead() throws Exception {
        List<String> old = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            old.add(entry("old" + i, deadPort(), "ready"));
        }
        start(old.toArray(String[]::new));
        long before = System.nanoTime();
        int status = exchange(requestText("q1", "read", "1500m")).status();
        assertTrue(status == 503 || status == 502 || status == 504, "answered with " + status);
        assertTrue(System.nanoTime() - before < DEADLINE_AND_MORE_NS, "answered by its deadline");
        listUpdates.add(list(99, true, worker("a", SERVE)));
        Program.await("the list takes effect", () -> served("a"));
        int jobsBefore = jobs("a");
        for (int i = 0; i < 10; i++) {
            assertEquals(200, exchange(requestText("r" + i, "submit", "2000m")).status());
        }
        assertEquals(jobsBefore + 10, jobs("a"));
    }

    /**
     * Half of sixty workers are removed at once: the remaining ones serve all queries, and the
     * removed ones get none.
     */
    @Test
    void servesFromRemainingWorkersWhenHalfAreRemoved() throws Exception {
        String stays = worker("stays", SERVE);
        String goes = worker("goes", SERVE);
        List<String> all = new ArrayList<>();
        List<String> half = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            half.add(stays.replace("\"stays\"", "\"w" + i + "-stays\""));
            all.add(goes.replace("\"goes\"", "\"w" + i + "-goes\""));
        }
        all.addAll(half);
        start(all.toArray(String[]::new));
        Program.await("a watch", () -> watches.size() == 1);
        for (int i = 0; i < 40; i++) {
            assertEquals(200, exchange(requestText("q" + i, "submit", "2000m")).status());
        }
        assertTrue(jobs("goes") > 0 && jobs("stays") > 0, "both halves are used");
        listUpdates.add(list(8, true, half.toArray(String[]::new)));
        Thread.sleep(600);
        int before = jobs("goes");
        for (int i = 0; i < 40; i++) {
            assertEquals(200, exchange(requestText("r" + i, "submit", "2000m")).status());
        }
        assertEquals(before, jobs("goes"), "no job was sent to a removed worker");
    }

    /**
     * Guards against a watch that never counts as silent because a byte arrives now and then, while
     * its list never becomes complete.
     */
    @Test
    void abandonsAndRetriesAListThatArrivesTooSlowly() throws Exception {
        String a = worker("a", SERVE);
        String b = worker("b", SERVE);
        String listUpdate = list(9, true, b);
        discovery =
                new Peer.Server(
                        0,
                        peer -> {
                            peer.message();
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            if (calls.incrementAndGet() > 1) {
                                peer.chunk(listUpdate);
                                Thread.sleep(30_000);
                            }
                            for (int i = 0;
                                    i < listUpdate.length();
                                    i++) { // at this rate the list would take minutes
                                peer.send("1\r\n" + listUpdate.charAt(i) + "\r\n");
                                Thread.sleep(300);
                            }
                        });
        servers.add(discovery);
        start(a);
        assertEquals(
                200,
                exchange(requestText("q1", "submit", "2000m")).status(),
                "no query waits for the list");
        program.awaitOutput("it trickles");
        Program.await("the list of the next call takes effect", () -> served("b"));
    }

    /**
     * The list is indented and arrives in many chunks; a single line of it must not be taken for a
     * list.
     */
    @Test
    void acceptsOneListSplitOverManyLinesAndReads() throws Exception {
        String b = worker("b", SERVE);
        String indented =
                list(9, true, b).replace(",", ",\n    ").replace("{", "{\n  ").replace("}", "\n}");
        discovery =
                new Peer.Server(
                        0,
                        peer -> {
                            calls.incrementAndGet();
                            peer.message();
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            for (int at = 0; at < indented.length(); at += 9) {
                                String part =
                                        indented.substring(at, Math.min(at + 9, indented.length()));
                                peer.send(
                                        Integer.toHexString(part.length())
                                                + "\r\n"
                                                + part
                                                + "\r\n");
                                Thread.sleep(1);
                            }
                            for (int i = 0; i < 30; i++) {
                                peer.chunk("");
                                Thread.sleep(1_000);
                            }
                        });
        servers.add(discovery);
        start(worker("a", SERVE));
        Program.await("the list takes effect", () -> served("b"));
        assertEquals(1, calls.get());
        assertTrue(!program.output().contains("is over"), program.output());
    }

    /**
     * The process is stopped for longer than a watch may be silent; what arrived meanwhile is read
     * before the watch is judged.
     */
    @Test
    void keepsWatchWhoseDataIsStillUnreadAfterAStall() throws Exception {
        start(worker("a", SERVE));
        Program.await("a watch", () -> watches.size() == 1);
        for (int i = 0; i < 2; i++) {
            Thread.sleep(300);
            program.signal("STOP");
            Thread.sleep(4_000);
            program.signal("CONT");
        }
        exchange(
                requestText(
                        "q0", "submit",
                        "2000m")); // may have waited for up to 4 s while the process was stopped
        assertEquals(200, exchange(requestText("q1", "submit", "2000m")).status());
        Thread.sleep(1_000);
        assertEquals(1, watches.size(), "the watch is still the same one");
        assertTrue(!program.output().contains("it is silent"), program.output());
    }

    /**
     * The watch sends only a response head, or one list and nothing more: it is reopened in time
     * for the update that was missed.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void reopensASilentWatchInTime(boolean afterAList) throws Exception {
        String a = worker("a", SERVE);
        String b = worker("b", SERVE);
        List<Long> asked = new CopyOnWriteArrayList<>();
        discovery =
                new Peer.Server(
                        0,
                        peer -> {
                            peer.message();
                            asked.add(System.nanoTime());
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            if (afterAList || asked.size() > 1) {
                                peer.chunk(
                                        asked.size() > 1
                                                ? list(9, true, a.replace("ready", "draining"), b)
                                                : list(8, true, a));
                            }
                            Thread.sleep(30_000);
                        });
        servers.add(discovery);
        start(a);
        Program.await("a second watch", () -> asked.size() == 2);
        assertTrue(
                asked.get(1) - asked.get(0) < 5_000_000_000L,
                "reopened within 5 s of the 6 s that are allowed");
        Program.await("the list of the second watch takes effect", () -> served("b"));
    }

    /**
     * The list that the agent has counts as notified from the first moment: no query may be served
     * from the list of before the start.
     */
    @Test
    void appliesFirstPushedListBeforeListening() throws Exception {
        String a = worker("a", SERVE);
        String b = worker("b", SERVE);
        String c = worker("c", SERVE);
        discovery =
                new Peer.Server(
                        0,
                        peer -> {
                            calls.incrementAndGet();
                            peer.message();
                            Thread.sleep(150);
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            peer.chunk(list(9, true, a.replace("ready", "draining"), b));
                            Thread.sleep(200);
                            peer.chunk(list(10, false, c, b.replace("ready", "draining")));
                        });
        servers.add(discovery);
        Path file = config(list(7, true, a));
        Files.writeString(file, Files.readString(file).replace("on_request", "pushed"));
        program = new Program(file, "serve").awaitOutput("listens on");
        for (int i = 0; i < 5; i++) {
            assertEquals(200, exchange(requestText("q" + i, "submit", "2000m")).status());
        }
        Program.await("pushed changes take effect as well", () -> served("c"));
        assertEquals(0, jobs("a"));
        int before = calls.get();
        Program.await("a watch that has ended is reopened at once", () -> calls.get() > before + 2);
    }
}
