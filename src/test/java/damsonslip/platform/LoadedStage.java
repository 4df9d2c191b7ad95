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

/** The stage under a steady load, where it counts when a worker got its last job. */
abstract class LoadedStage extends PlatformStage {
    /** Sends end so long after the news: the settings' grace, and what the rules on sockets add. */
    private static final long GRACE_NS = TimeUnit.MILLISECONDS.toNanos(550);

    private static final int LOOK_ON_MS = 500;

    final AtomicBoolean over = new AtomicBoolean();
    final AtomicInteger ids = new AtomicInteger();
    final AtomicInteger calls = new AtomicInteger();

    /** When each worker got its last job. */
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

    /** Four clients that ask all the time. */
    void startLoad() {
        for (int i = 0; i < 4; i++) {
            Thread thread =
                    new Thread(
                            () -> {
                                while (!over.get()) {
                                    try {
                                        int id = ids.incrementAndGet();
                                        ask(
                                                query(
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

    /** A configuration whose dials may come up late. */
    Path configWithLongDialTimeout(String known) throws IOException {
        Path file = config(known);
        return Files.writeString(
                file,
                Files.readString(file).replace("\"dial_timeout_s\":0.25", "\"dial_timeout_s\":5"));
    }

    void startUnderLoad(String... entries) throws Exception {
        program =
                new Program(configWithLongDialTimeout(list(7, true, entries)), "serve")
                        .awaitWord("listens on");
        Program.await("a watch", () -> watches.size() == 1);
        startLoad();
        Program.await("all are used", () -> last.size() == entries.length);
    }

    /**
     * None of them gets anything once the grace has passed since the news, though the load goes on
     * for a while.
     */
    void assertNoLongerUsed(long toldNs, String... workers) throws InterruptedException {
        long until = toldNs + GRACE_NS;
        Thread.sleep(
                Math.max(0, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())) + LOOK_ON_MS);
        for (String worker : workers) {
            long ms = TimeUnit.NANOSECONDS.toMillis(last.get(worker) - toldNs);
            assertTrue(
                    last.get(worker) < until, worker + " got a job " + ms + " ms after the news");
        }
    }

    /** It is in use now, not only before. */
    void assertUsed(String worker) {
        long now = System.nanoTime();
        Program.await(worker + " is used", () -> last.get(worker) > now);
    }
}
