package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A watch that falls silent after it was well for a long time. */
class LateSilenceTest extends LoadedStage {
    /** A change takes effect no later than this after its watch has fallen silent. */
    private static final long MAX_SILENCE_NS = TimeUnit.SECONDS.toNanos(6);

    private static final int LATE_SILENCE_MS = 13_000;

    private final AtomicInteger calls = new AtomicInteger();

    /** The time at which the list of the next watch was written. */
    private final CompletableFuture<Long> notified = new CompletableFuture<>();

    /**
     * The watch works for a long time and then falls silent while nearly half of the workers drain.
     */
    @Test
    void noticesDrainsInTimeAfterALateSilence() throws Exception {
        List<String> all = new ArrayList<>();
        List<String> halfDrains = new ArrayList<>();
        List<String> drainingIds = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            String entry = recordingWorker("w" + i);
            all.add(entry);
            halfDrains.add(i < 4 ? draining(entry) : entry);
            if (i < 4) {
                drainingIds.add("w" + i);
            }
        }
        List<Long> silentSince = new ArrayList<>();
        discovery =
                new Peer.Server(
                        0,
                        peer -> {
                            boolean first = calls.incrementAndGet() == 1;
                            peer.message();
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            List<String> entries = first ? all : halfDrains;
                            peer.chunk(list(first ? 8 : 9, true, entries.toArray(String[]::new)));
                            if (!first) {
                                notified.complete(System.nanoTime());
                            }
                            for (int ms = 0; ms < LATE_SILENCE_MS; ms += 2_000) {
                                Thread.sleep(2_000);
                                peer.chunk("");
                            }
                            silentSince.add(System.nanoTime());
                            Thread.sleep(30_000);
                        });
        servers.add(discovery);
        start(all.toArray(String[]::new));
        startLoad();
        Program.await("a watch", () -> calls.get() == 1);
        Thread.sleep(LATE_SILENCE_MS - 3_000);
        Program.await("the watch falls silent", () -> !silentSince.isEmpty());
        long notifiedNs = notified.get(10, TimeUnit.SECONDS);
        long elapsedNs = notifiedNs - silentSince.get(0);
        assertTrue(
                elapsedNs < MAX_SILENCE_NS, elapsedNs / 1_000_000 + " ms after the silence began");
        assertNoLongerUsed(notifiedNs, drainingIds.toArray(String[]::new));
        assertUsed("w8");
    }
}
