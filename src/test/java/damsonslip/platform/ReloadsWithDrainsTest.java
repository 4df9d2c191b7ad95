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

/** Drains that arrive with a configuration reload or in complete lists, under load. */
class ReloadsWithDrainsTest extends LoadedStage {
    /** How the new discovery handles the first call to it. */
    enum FirstCall {
        ANSWERS,
        BUSY,
        RESETS
    }

    /**
     * The drain grace of a change in the new discovery's list begins this long after SIGHUP at the
     * latest.
     */
    private static final long RELOAD_NS = TimeUnit.SECONDS.toNanos(4);

    private final AtomicInteger calls = new AtomicInteger();

    /** When the new discovery sent its list. */
    private final CompletableFuture<Long> listSentNs = new CompletableFuture<>();

    private void reloadTo(int to) throws Exception {
        program.reload(
                Files.readString(configWithLongDialTimeout(list(7, true)))
                        .replace(
                                "\"discovery\":\"127.0.0.1:" + discovery.port() + "\"",
                                "\"discovery\":\"127.0.0.1:" + to + "\""));
    }

    /**
     * A new discovery that handles its first call as given, and answers all others with this list
     * on an open watch.
     */
    private Peer.Server newDiscovery(FirstCall first, String list) throws IOException {
        Peer.Server server =
                new Peer.Server(
                        0,
                        peer -> {
                            boolean fails =
                                    calls.incrementAndGet() == 1 && first != FirstCall.ANSWERS;
                            if (fails && first == FirstCall.RESETS) {
                                peer.reset();
                                return;
                            }
                            peer.message();
                            if (fails) {
                                peer.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                                return;
                            }
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                    .chunk(list);
                            listSentNs.complete(System.nanoTime());
                            for (int i = 0; i < 30; i++) {
                                Thread.sleep(1_000);
                                peer.chunk("");
                            }
                        });
        servers.add(server);
        return server;
    }

    /**
     * Checks that the list was fetched in time and that workers a and b get nothing after their
     * grace.
     */
    private void assertAppliedInTime(long reloadedNs) throws Exception {
        long sentNs = listSentNs.get(10, TimeUnit.SECONDS);
        assertTrue(
                sentNs - reloadedNs < RELOAD_NS,
                (sentNs - reloadedNs) / 1_000_000 + " ms after SIGHUP");
        assertNoLongerUsed(sentNs, "a", "b");
        assertUsed("c");
    }

    /**
     * In the first list of the new address one worker is draining and one is missing. The old watch
     * stays open and announces one of them as ready; that must not count.
     */
    @ParameterizedTest
    @EnumSource(FirstCall.class)
    void appliesDrainsInFirstListOfNewAddressInTime(FirstCall first) throws Exception {
        String a = recordingWorker("a");
        String c = recordingWorker("c");
        startUnderLoad(a, recordingWorker("b"), c);
        Peer.Server newDiscovery = newDiscovery(first, list(3, true, draining(a), c));
        long sighupNs = System.nanoTime();
        reloadTo(newDiscovery.port());
        listUpdates.add(list(8, false, a));
        assertAppliedInTime(sighupNs);
    }

    /**
     * The connection to the first new address is not up yet when the second reload replaces it;
     * when it comes up later, its list must not count.
     */
    @Test
    void secondReloadWinsWhenFirstAddressComesUpLater() throws Exception {
        String a = recordingWorker("a");
        String b = recordingWorker("b");
        String c = recordingWorker("c");
        try (LateServer slow = new LateServer()) {
            startUnderLoad(a, b, c);
            Peer.Server newDiscovery =
                    newDiscovery(FirstCall.ANSWERS, list(3, true, draining(a), c));
            reloadTo(slow.port());
            program.awaitOutput("reload: discovery is at 127.0.0.1:" + slow.port());
            long sighupNs = System.nanoTime();
            reloadTo(newDiscovery.port());
            Program.await("the second address is called", () -> calls.get() == 1);
            slow.open(
                    peer -> {
                        peer.message();
                        peer.answerLines(list(9, true, a, b));
                    });
            Program.await("the first address has come up", () -> slow.connections() == 1);
            Thread.sleep(200); // a stale list would be fetched and applied at once
            assertAppliedInTime(sighupNs);
        }
    }

    /**
     * A call to the first new address is in progress at the second reload; its answer, which comes
     * after the second address was called, must not count.
     */
    @Test
    void reloadDuringCallIgnoresThatCallsAnswer() throws Exception {
        String a = recordingWorker("a");
        String b = recordingWorker("b");
        String c = recordingWorker("c");
        startUnderLoad(a, b, c);
        AtomicInteger asked = new AtomicInteger();
        Peer.Server newDiscovery = newDiscovery(FirstCall.ANSWERS, list(3, true, draining(a), c));
        Peer.Server slow =
                new Peer.Server(
                        0,
                        peer -> {
                            peer.message();
                            asked.incrementAndGet();
                            Program.await("the second address is called", () -> calls.get() == 1);
                            Thread.sleep(200);
                            peer.answerLines(list(9, true, a, b));
                        });
        servers.add(slow);
        reloadTo(slow.port());
        Program.await("the first address is called", () -> asked.get() == 1);
        long sighupNs = System.nanoTime();
        reloadTo(newDiscovery.port());
        assertAppliedInTime(sighupNs);
    }

    /**
     * The new discovery is too busy to answer. The grace begins at the reload limit all the same,
     * so after it nothing may be sent by the old list.
     */
    @Test
    void sendsNothingByOldListWhileNewDiscoveryIsOverloaded() throws Exception {
        startUnderLoad(recordingWorker("a"), recordingWorker("b"));
        Peer.Server busy = new Peer.Server(0, PlatformStage::failBusy);
        servers.add(busy);
        long sighupNs = System.nanoTime();
        reloadTo(busy.port());
        Thread.sleep(1_500);
        discovery.close(); // as the old one does, by LATER
        assertNoLongerUsed(sighupNs + RELOAD_NS, "a", "b");
    }

    /**
     * Complete lists on an open watch replace the known workers: half of them are missing in the
     * first, and the second has a lower generation and misses the others.
     */
    @Test
    void appliesCompleteListsWhateverTheirGeneration() throws Exception {
        String a = recordingWorker("a");
        String b = recordingWorker("b");
        String c = recordingWorker("c");
        String d = recordingWorker("d");
        startUnderLoad(a, b, c, d);
        long first = System.nanoTime();
        listUpdates.add(list(9, true, c, d));
        assertNoLongerUsed(first, "a", "b");
        long second = System.nanoTime();
        listUpdates.add(list(4, true, a, b));
        assertNoLongerUsed(second, "c", "d");
        assertUsed("a");
        long third = System.nanoTime();
        listUpdates.add(list(5, false, draining(a), c));
        assertNoLongerUsed(third, "a");
        assertEquals(1, watches.size(), "all lists on one watch");
    }
}
