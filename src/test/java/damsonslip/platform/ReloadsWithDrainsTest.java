package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.LateServer;
import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Files;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Drains that come with a new configuration or by whole lists, under load. */
class ReloadsWithDrainsTest extends LoadedStage {
    /** What the first call to a new discovery meets. */
    enum First {
        ANSWERS,
        BUSY,
        RESETS
    }

    /** After SIGHUP a change counts as told so much later at the latest. */
    private static final long RELOAD_NS = TimeUnit.SECONDS.toNanos(4);

    private final AtomicInteger calls = new AtomicInteger();

    /** When the list of the new discovery was written. */
    private final CompletableFuture<Long> told = new CompletableFuture<>();

    private void reloadTo(int to) throws Exception {
        program.reload(
                Files.readString(configWithLongDialTimeout(list(7, true)))
                        .replace(
                                "\"discovery\":\"127.0.0.1:" + discovery.port() + "\"",
                                "\"discovery\":\"127.0.0.1:" + to + "\""));
    }

    /** Answers its first call as told, and all others with this list on an open watch. */
    private Peer.Server next(First first, String list) throws IOException {
        Peer.Server server =
                new Peer.Server(
                        0,
                        peer -> {
                            boolean troubled =
                                    calls.incrementAndGet() == 1 && first != First.ANSWERS;
                            if (troubled && first == First.RESETS) {
                                peer.reset();
                                return;
                            }
                            peer.message();
                            if (troubled) {
                                peer.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                                return;
                            }
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                    .chunk(list);
                            told.complete(System.nanoTime());
                            for (int i = 0; i < 30; i++) {
                                Thread.sleep(1_000);
                                peer.chunk("");
                            }
                        });
        servers.add(server);
        return server;
    }

    /** It was told in time, and from then on two of three workers get nothing. */
    private void assertTold(long hungUpNs) throws Exception {
        long toldNs = told.get(10, TimeUnit.SECONDS);
        assertTrue(
                toldNs - hungUpNs < RELOAD_NS,
                (toldNs - hungUpNs) / 1_000_000 + " ms after SIGHUP");
        assertNoLongerUsed(toldNs, "a", "b");
        assertUsed("c");
    }

    /**
     * One drains in the first list of the new address, one is missing there; the old watch stays
     * open and repeats them.
     */
    @ParameterizedTest
    @EnumSource(First.class)
    void drainsInTheFirstListOfANewAddressAreToldInTime(First first) throws Exception {
        String a = recordingWorker("a");
        String c = recordingWorker("c");
        startUnderLoad(a, recordingWorker("b"), c);
        Peer.Server next = next(first, list(3, true, draining(a), c));
        long hungUp = System.nanoTime();
        reloadTo(next.port());
        news.add(list(8, false, a));
        assertTold(hungUp);
    }

    /**
     * The first one has not come up when the second moves on; coming up later, it takes nothing
     * back.
     */
    @Test
    void ofTwoReloadsInARowTheSecondCountsThoughTheFirstAddressComesUpLater() throws Exception {
        String a = recordingWorker("a");
        String b = recordingWorker("b");
        String c = recordingWorker("c");
        try (LateServer slow = new LateServer()) {
            startUnderLoad(a, b, c);
            Peer.Server next = next(First.ANSWERS, list(3, true, draining(a), c));
            reloadTo(slow.port());
            program.awaitWord("reload: discovery is at 127.0.0.1:" + slow.port());
            long hungUp = System.nanoTime();
            reloadTo(next.port());
            Program.await("the second is asked", () -> calls.get() == 1);
            slow.open(
                    peer -> {
                        peer.message();
                        peer.answerLines(list(9, true, a, b));
                    });
            Program.await("the first has come up", () -> slow.connections() == 1);
            Thread.sleep(200); // it would be asked, and its list would count, at once
            assertTold(hungUp);
        }
    }

    /**
     * The call to the first address is under way, and its answer comes when the second has told its
     * list.
     */
    @Test
    void aReloadDuringACallLeavesThatCallsAnswerAside() throws Exception {
        String a = recordingWorker("a");
        String b = recordingWorker("b");
        String c = recordingWorker("c");
        startUnderLoad(a, b, c);
        AtomicInteger asked = new AtomicInteger();
        Peer.Server next = next(First.ANSWERS, list(3, true, draining(a), c));
        Peer.Server slow =
                new Peer.Server(
                        0,
                        peer -> {
                            peer.message();
                            asked.incrementAndGet();
                            Program.await("the second is asked", () -> calls.get() == 1);
                            Thread.sleep(200);
                            peer.answerLines(list(9, true, a, b));
                        });
        servers.add(slow);
        reloadTo(slow.port());
        Program.await("the first is asked", () -> asked.get() == 1);
        long hungUp = System.nanoTime();
        reloadTo(next.port());
        assertTold(hungUp);
    }

    /** A new discovery that is too busy to answer: what it has to tell counts all the same. */
    @Test
    void nothingIsSentOnTheOldListWhereTheNewDiscoveryDoesNotGetRoundToTelling() throws Exception {
        startUnderLoad(recordingWorker("a"), recordingWorker("b"));
        Peer.Server busy = new Peer.Server(0, PlatformStage::failBusy);
        servers.add(busy);
        long hungUp = System.nanoTime();
        reloadTo(busy.port());
        Thread.sleep(1_500);
        discovery.close(); // as the old one does, by LATER
        assertNoLongerUsed(hungUp + RELOAD_NS, "a", "b");
    }

    /**
     * Whole lists on an open watch: half are missing in one, and the next has a lower number and
     * other ones missing.
     */
    @Test
    void wholeListsOnAnOpenWatchCountWhateverTheirNumbers() throws Exception {
        String a = recordingWorker("a");
        String b = recordingWorker("b");
        String c = recordingWorker("c");
        String d = recordingWorker("d");
        startUnderLoad(a, b, c, d);
        long first = System.nanoTime();
        news.add(list(9, true, c, d));
        assertNoLongerUsed(first, "a", "b");
        long second = System.nanoTime();
        news.add(list(4, true, a, b));
        assertNoLongerUsed(second, "c", "d");
        assertUsed("a");
        long third = System.nanoTime();
        news.add(list(5, false, draining(a), c));
        assertNoLongerUsed(third, "a");
        assertEquals(1, watches.size(), "all on one watch");
    }
}
