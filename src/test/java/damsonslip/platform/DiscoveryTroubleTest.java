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

/** Discovery is in trouble from the first moment on; queries are served from what is known. */
class DiscoveryTroubleTest extends PlatformStage {
    enum Trouble {
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
                // it is closed with its request unread
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
     * An answer due at 1.5 s may take this long on a busy machine; one that waits for discovery
     * never comes.
     */
    private static final long DEADLINE_AND_MORE_NS = 3_500_000_000L;

    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicInteger mostOpen = new AtomicInteger();

    private void troubled(Trouble trouble, String list) throws IOException {
        discovery =
                new Peer.Server(
                        0,
                        peer -> {
                            calls.incrementAndGet();
                            mostOpen.accumulateAndGet(open.incrementAndGet(), Math::max);
                            try {
                                trouble.on(peer, list);
                            } finally {
                                open.decrementAndGet();
                            }
                        });
        servers.add(discovery);
    }

    /**
     * Calls are spaced out and one at a time, a reload moves them elsewhere, and then the news
     * count at once.
     */
    @ParameterizedTest
    @EnumSource(Trouble.class)
    void queriesAreServedFromWhatIsKnownUntilTheNewsCome(Trouble trouble) throws Exception {
        String a = worker("a", SERVE);
        String b = worker("b", SERVE);
        troubled(trouble, list(9, true, b));
        start(a);
        assertEquals("r-q1", exchange(requestText("q1", "submit", "2000m")).body());
        Thread.sleep(1_800);
        assertTrue(calls.get() >= 1 && calls.get() <= 5, calls + " calls in two seconds");
        assertEquals(1, mostOpen.get(), "one call at a time");
        assertEquals("r-q2", exchange(requestText("q2", "submit", "2000m")).body());
        assertEquals(2, jobs("a"));
        List<String> told = new ArrayList<>();
        discovery = discovery(List.of(list(9, true, b)), told);
        program.reload(Files.readString(config(list(7, true, a))))
                .awaitOutput("reload: discovery is at");
        Program.await("the news count", () -> served("b"));
        int before = calls.get();
        Thread.sleep(1_000);
        assertEquals(before, calls.get(), "the old one is left alone");
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

    /** Nothing waits for discovery at the end either. */
    @ParameterizedTest
    @EnumSource(
            value = Trouble.class,
            names = {"HANGS", "BUSY"})
    void aStopMeanwhileAnswersEverything(Trouble trouble) throws Exception {
        String a =
                worker(
                        "a",
                        (peer, job) -> {
                            Thread.sleep(700);
                            SERVE.on(peer, job);
                        });
        troubled(trouble, "");
        start(a);
        try (Peer client = Peer.connect(port).send(requestText("q1", "submit", "3000m"))) {
            Program.await("it is sent", () -> jobs("a") == 1);
            program.terminate();
            assertEquals("r-q1", client.message().body());
        }
        assertEquals(143, program.exit());
    }

    /**
     * With nobody known a query is not kept waiting for discovery; the first list opens the doors.
     */
    @Test
    void anEmptyListTurnsQueriesAwayAtOnceUntilSomebodyIsKnown() throws Exception {
        start();
        long before = System.nanoTime();
        Message answer = exchange(requestText("q1", "submit", "1500m"));
        assertTrue(System.nanoTime() - before < DEADLINE_AND_MORE_NS, "answered by its deadline");
        assertEquals(503, answer.status());
        assertNotNull(answer.field("Retry-After"));
        listUpdates.add(list(8, true, worker("a", SERVE)));
        Program.await("the list counts", () -> served("a"));
    }

    /** Of a list from long ago nobody is left; a query may find out, and is not lost by it. */
    @Test
    void aVeryOldListCostsNoQueryMoreThanItsTime() throws Exception {
        List<String> old = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            old.add(entry("old" + i, deadPort(), "ready"));
        }
        start(old.toArray(String[]::new));
        long before = System.nanoTime();
        int status = exchange(requestText("q1", "read", "1500m")).status();
        assertTrue(status == 503 || status == 502 || status == 504, "answered with " + status);
        assertTrue(System.nanoTime() - before < DEADLINE_AND_MORE_NS, "by its deadline");
        listUpdates.add(list(99, true, worker("a", SERVE)));
        Program.await("the list counts", () -> served("a"));
        int had = jobs("a");
        for (int i = 0; i < 10; i++) {
            assertEquals(200, exchange(requestText("r" + i, "submit", "2000m")).status());
        }
        assertEquals(had + 10, jobs("a"));
    }

    /** Half of sixty go at once: what stays serves everything, and who has gone gets nothing. */
    @Test
    void halfOfAListGoneAtOnceCostsNothing() throws Exception {
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
        assertEquals(before, jobs("goes"), "none of them has gone to who is told as gone");
    }

    /**
     * Guards against a watch that a byte now and then keeps from being silent, while its list never
     * comes.
     */
    @Test
    void aListThatTricklesIsGivenUpAndAskedForAnew() throws Exception {
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
                                    i++) { // as one who would need minutes
                                peer.send("1\r\n" + listUpdate.charAt(i) + "\r\n");
                                Thread.sleep(300);
                            }
                        });
        servers.add(discovery);
        start(a);
        assertEquals(
                200,
                exchange(requestText("q1", "submit", "2000m")).status(),
                "nobody waits for it");
        program.awaitOutput("it trickles");
        Program.await("the next call brings the news", () -> served("b"));
    }

    /** The same list laid out for people, in many parts; a line of it is no list. */
    @Test
    void aListOverManyLinesAndReadsCountsAsOne() throws Exception {
        String b = worker("b", SERVE);
        String laidOut =
                list(9, true, b).replace(",", ",\n    ").replace("{", "{\n  ").replace("}", "\n}");
        discovery =
                new Peer.Server(
                        0,
                        peer -> {
                            calls.incrementAndGet();
                            peer.message();
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            for (int at = 0; at < laidOut.length(); at += 9) {
                                String part =
                                        laidOut.substring(at, Math.min(at + 9, laidOut.length()));
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
        Program.await("the list counts", () -> served("b"));
        assertEquals(1, calls.get());
        assertTrue(!program.output().contains("is over"), program.output());
    }

    /**
     * The machine stands still for longer than a watch may be silent; what came meanwhile is read
     * before it is judged.
     */
    @Test
    void aWatchIsNotSilentWhoseWordsWaitToBeRead() throws Exception {
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
                        "2000m")); // may have waited for all of the 4 s, for all that is known
        assertEquals(200, exchange(requestText("q1", "submit", "2000m")).status());
        Thread.sleep(1_000);
        assertEquals(1, watches.size(), "it is the same one");
        assertTrue(!program.output().contains("it is silent"), program.output());
    }

    /**
     * A head and nothing behind it, or one list and nothing more: it is opened anew, in time for
     * what it has missed.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aWatchThatFallsSilentIsOpenedAnewInTime(boolean afterAList) throws Exception {
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
        assertTrue(asked.get(1) - asked.get(0) < 5_000_000_000L, "with a second to spare of six");
        Program.await("its list counts", () -> served("b"));
    }

    /**
     * What the agent has counts as told from the first moment: no query may meet the list from
     * before the start.
     */
    @Test
    void whereListsArePushedTheFirstOneCountsBeforeTheDoorOpens() throws Exception {
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
        Program.await("changes are pushed as well", () -> served("c"));
        assertEquals(0, jobs("a"));
        int before = calls.get();
        Program.await(
                "a watch that has ended is opened anew at once", () -> calls.get() > before + 2);
    }
}
