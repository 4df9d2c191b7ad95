package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Program;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * The real program while discovery fails all calls and its last endpoint list has expired: the
 * workers are probed instead.
 */
class ProbedWorkersServeTest extends PlatformStage {
    /** An endpoint list expires at the latest this long after the last message from discovery. */
    private static final long LIST_EXPIRES_MS = 6_500;

    private static final long DISCOVERY_UP_MS = 1_200;
    private static final long GRACE_NS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long ASKING_NS = TimeUnit.SECONDS.toNanos(2);

    private final AtomicBoolean failing = new AtomicBoolean();
    private final AtomicInteger ids = new AtomicInteger();
    private volatile long lastSentNs;

    private final Work servesAndPassesProbes =
            (peer, job) -> {
                if (job.first().startsWith("GET /load ")) {
                    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                } else {
                    lastSentNs = System.nanoTime();
                    SERVE.on(peer, job);
                }
            };
    private final AtomicBoolean draining = new AtomicBoolean();
    private final Work failsProbesWhileDraining =
            (peer, job) -> {
                if (draining.get() && job.first().startsWith("GET /load ")) {
                    peer.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                } else {
                    servesAndPassesProbes.on(peer, job);
                }
            };

    private void startAndLetListExpire(String worker) throws Exception {
        discovery = discoveryFailingWhile(failing::get);
        startWithConsole(
                file ->
                        file.replace(
                                        "\"may_cancel\":true",
                                        "\"may_cancel\":true,\"may_probe\":true")
                                .replace("\"conn_idle_s\":2", "\"conn_idle_s\":20"),
                worker);
        awaitDiscovery();
        assertEquals(200, exchange()); // leaves an open connection to the worker
        Thread.sleep(DISCOVERY_UP_MS); // so that discovery is heard from after the start, too
        failing.set(true);
        discovery.endConnections();
        Thread.sleep(LIST_EXPIRES_MS);
    }

    private int exchange() throws IOException {
        return exchange(requestText("q" + ids.incrementAndGet(), "read", "1000m")).status();
    }

    @Test
    void servesByWorkersThatPassProbesWhenListHasExpired() throws Exception {
        startAndLetListExpire(worker("a", servesAndPassesProbes));
        for (int i = 0; i < 20; i++) {
            assertEquals(200, exchange());
        }
        assertTrue(hasCounter("list_failures"));
    }

    /**
     * A failed probe takes effect at once, although discovery cannot report the worker as draining.
     */
    @Test
    void sendsNothingToWorkerThatFailsProbesWhenListHasExpired() throws Exception {
        startAndLetListExpire(worker("a", failsProbesWhileDraining));
        assertEquals(200, exchange());
        draining.set(true);
        long drainingNs = System.nanoTime();
        while (System.nanoTime() - drainingNs < ASKING_NS) {
            exchange();
        }
        assertTrue(
                lastSentNs - drainingNs < GRACE_NS,
                (lastSentNs - drainingNs) / 1_000_000 + " ms after it began to drain");
        Program.await("requests are rejected", () -> isRejected());
    }

    private boolean isRejected() {
        try {
            return exchange() == 503;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
