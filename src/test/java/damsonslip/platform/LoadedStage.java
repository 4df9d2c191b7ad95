package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;

/** Runs the scheduler under a steady load and records when each worker got its last job. */
abstract class LoadedStage extends PlatformStage {
    /**
     * Jobs stop so long after the notification: the drain grace of the settings and the allowance
     * of the rules on sockets.
     */
    private static final long GRACE_NS = TimeUnit.MILLISECONDS.toNanos(550);

    private static final int OBSERVE_MS = 500;

    final AtomicBoolean over = new AtomicBoolean();
    final AtomicInteger ids = new AtomicInteger();
    final AtomicInteger calls = new AtomicInteger();

    /** The time at which each worker got its last job. */
    final Map<String, Long> last = new ConcurrentHashMap<>();

    @AfterEach
    void endLoad() {
        over.set(true);
    }

    String recordingWorker(String id) throws IOException {
        return worker(
                id,
                (peer, job) -> {
                    last.put(id, System.nanoTime());
                    SERVE.on(peer, job);
                });
    }

    static String draining(String entry) {
        return entry.replace("ready", "draining");
    }

    /** Starts four clients that send queries continuously. */
    void startLoad() {
        for (int i = 0; i < 4; i++) {
            Thread thread =
                    new Thread(
                            () -> {
                                while (!over.get()) {
                                    try {
                                        int id = ids.incrementAndGet();
                                        exchange(
                                                requestText(
                                                        "q" + id,
                                                        id % 2 == 0 ? "read" : "submit",
                                                        "2000m"));
                                        Thread.sleep(10);
                                    } catch (IOException | InterruptedException e) {
                                        return; // the test is over
                                    }
                                }
                            });
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** A configuration that allows connections to open late. */
    Path configWithLongDialTimeout(String known) throws IOException {
        Path file = config(known);
        return Files.writeString(
                file,
                Files.readString(file).replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":5"));
    }

    void startUnderLoad(String... entries) throws Exception {
        program =
                new Program(configWithLongDialTimeout(list(7, true, entries)), "serve")
                        .awaitOutput("listens on");
        Program.await("a watch", () -> watches.size() == 1);
        startLoad();
        Program.await("all workers are used", () -> last.size() == entries.length);
    }

    /**
     * Asserts that these workers get no job later than the grace after the notification, while the
     * load continues for a while.
     */
    void assertNoLongerUsed(long notifiedNs, String... workers) throws InterruptedException {
        long until = notifiedNs + GRACE_NS;
        Thread.sleep(
                Math.max(0, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())) + OBSERVE_MS);
        for (String worker : workers) {
            long ms = TimeUnit.NANOSECONDS.toMillis(last.get(worker) - notifiedNs);
            assertTrue(
                    last.get(worker) < until,
                    worker + " got a job " + ms + " ms after the notification");
        }
    }

    /** Waits until the worker gets another job from now on. */
    void assertUsed(String worker) {
        long now = System.nanoTime();
        Program.await(worker + " is still used", () -> last.get(worker) > now);
    }
}
