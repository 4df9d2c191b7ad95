package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** The real program where the wall clock of its machine is off when it starts. */
class WallClockTest extends FaultStage {
    private static final long FIRST_SECONDS_MS = 2_000;
    private static final int CLIENTS_AT_ONCE = 12;
    private static final String SLOW_START =
            "\"cold_share\":0.1,\"cold_s\":20,\"fall_multiple\":3,\"fall_s\":2,";

    /** Long beside the delays of a busy machine, so that these hardly count as work. */
    private static final int JOB_MS = 60;

    /** What counts run apart by whatever the clock says. */
    private static final long SLACK_NS = TimeUnit.MILLISECONDS.toNanos(3 * JOB_MS);

    /**
     * The time that the new worker has spent on its jobs: on a busy machine each takes longer, and
     * it gets fewer.
     */
    private final AtomicLong workNs = new AtomicLong();

    /** Answers after a while, so that there is more to do than a cold worker may get. */
    private static void answerSlowly(Peer peer, Message job)
            throws IOException, InterruptedException {
        Thread.sleep(JOB_MS);
        peer.answerLines(
                state(job, "started", ""),
                state(job, "done", ",\"result\":\"r\",\"load\":{\"x0\":12}"));
    }

    private void answerMeasured(Peer peer, Message job) throws IOException, InterruptedException {
        long beginNs = System.nanoTime();
        answerSlowly(peer, job);
        workNs.addAndGet(System.nanoTime() - beginNs);
    }

    private void startWithSlowStart(Duration clockOffBy, String... entries) throws IOException {
        faults.stepWallClock(clockOffBy);
        Path file = config(list(7, true, entries));
        Files.writeString(
                file,
                Files.readString(file)
                        .replace("\"drain_grace_s\"", SLOW_START + "\"drain_grace_s\""));
        program =
                new Program(file, faults.environment(), List.of(), "serve").awaitWord("listens on");
    }

    /**
     * How much work a worker gets in its first seconds that discovery tells of as soon as it has
     * started.
     */
    private long workOfANewWorkerNs(Duration clockOffBy) throws Exception {
        got.clear();
        workNs.set(0);
        startWithSlowStart(clockOffBy, worker("a", WallClockTest::answerSlowly));
        AtomicBoolean stop = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS_AT_ONCE; i++) {
            String name = "c" + i;
            clients.add(new Thread(() -> askUntil(stop, name)));
        }
        clients.forEach(Thread::start);
        Thread.sleep(1_500);
        String newWorker =
                worker("b", this::answerMeasured)
                        .replace(
                                "\"startedAtMs\":0",
                                "\"startedAtMs\":" + System.currentTimeMillis());
        news.add(list(8, false, newWorker));
        Thread.sleep(FIRST_SECONDS_MS);
        long work = workNs.get();
        System.out.println(
                "first two seconds of a cold worker, clock off by "
                        + clockOffBy
                        + ": "
                        + jobs("b")
                        + " jobs, "
                        + TimeUnit.NANOSECONDS.toMillis(work)
                        + " ms of work");
        stop.set(true);
        for (Thread client : clients) {
            client.join();
        }
        program.close();
        return work;
    }

    private void askUntil(AtomicBoolean stop, String name) {
        try (Peer client = Peer.connect(port)) {
            for (int i = 0; !stop.get(); i++) {
                client.send(query(name + "-" + i, i % 2 == 0 ? "read" : "submit", "2000m"))
                        .message();
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * A busy machine can only take from what the budget allows, so the larger of two runs is nearer
     * to that.
     */
    @Test
    void slowStartWorksWhenWallClockIsAnHourOff() throws Exception {
        long before = workOfANewWorkerNs(Duration.ZERO);
        long ahead = workOfANewWorkerNs(Duration.ofHours(1));
        long between = workOfANewWorkerNs(Duration.ZERO);
        long behind = workOfANewWorkerNs(Duration.ofHours(-1));
        long withRightClock = Math.max(before, between);
        assertTrue(withRightClock > 0, "it is used at all");
        assertSimilar(ahead, withRightClock);
        assertSimilar(behind, withRightClock);
    }

    private static void assertSimilar(long withClockOff, long withRightClock) {
        String summary =
                TimeUnit.NANOSECONDS.toMillis(withClockOff)
                        + " ms of work where the clock is off, "
                        + TimeUnit.NANOSECONDS.toMillis(withRightClock)
                        + " where it is right";
        assertTrue(withClockOff <= 1.1 * withRightClock + SLACK_NS, summary);
        assertTrue(withClockOff >= 0.7 * withRightClock - SLACK_NS, summary);
    }
}
