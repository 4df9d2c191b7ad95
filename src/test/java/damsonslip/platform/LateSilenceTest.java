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

/** A watch that says nothing any more after it was well for long. */
class LateSilenceTest extends LoadedStage {
    /** After a watch has fallen silent, a change counts as told so much later at the latest. */
    private static final long SILENT_NS = TimeUnit.SECONDS.toNanos(6);

    private static final int LATE_SILENCE_MS = 13_000;

    private final AtomicInteger calls = new AtomicInteger();

    /** When the list of the next watch was written. */
    private final CompletableFuture<Long> told = new CompletableFuture<>();

    /** All is well for long; then the watch says nothing, and nearly half of the workers drain. */
    @Test
    void drainsBehindALateSilenceAreToldInTime() throws Exception {
        List<String> all = new ArrayList<>();
        List<String> halfDrains = new ArrayList<>();
        List<String> drained = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            String entry = recordingWorker("w" + i);
            all.add(entry);
            halfDrains.add(i < 4 ? draining(entry) : entry);
            if (i < 4) {
                drained.add("w" + i);
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
                                told.complete(System.nanoTime());
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
        long toldNs = told.get(10, TimeUnit.SECONDS);
        long took = toldNs - silentSince.get(0);
        assertTrue(took < SILENT_NS, took / 1_000_000 + " ms after the silence began");
        assertNoLongerUsed(toldNs, drained.toArray(String[]::new));
        assertUsed("w8");
    }
}
