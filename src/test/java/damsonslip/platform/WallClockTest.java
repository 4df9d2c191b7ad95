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

/** The real program, started on a machine whose wall clock is wrong. */
class WallClockTest extends FaultStage {
    private static final long FIRST_SECONDS_MS = 2_000;
    private static final int CLIENTS_AT_ONCE = 12;
    private static final String SLOW_START =
            "\"cold_share\":0.1,\"cold_s\":20,\"fall_multiple\":3,\"fall_s\":2,";

    /** Long compared with the delays of a busy machine, so that these hardly count as work. */
    private static final int JOB_MS = 60;

    /** How far results differ between runs, whatever the clock says. */
    private static final long SLACK_NS = TimeUnit.MILLISECONDS.toNanos(3 * JOB_MS);

    /**
     * The time that the new worker spent on its jobs. Time is compared rather than the number of
     * jobs, because on a busy machine each job takes longer and the worker gets fewer.
     */
    private final AtomicLong workNs = new AtomicLong();

    /** Answers after a while, so that there is more work than a worker in slow start may get. */
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
                new Program(file, faults.environment(), List.of(), "serve")
                        .awaitOutput("listens on");
    }

    /**
     * How much work a worker that discovery announces right after its start gets in its first
     * seconds.
     */
    private long workOfANewWorkerNs(Duration clockOffBy) throws Exception {
        receivedJobs.clear();
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
        listUpdates.add(list(8, false, newWorker));
        Thread.sleep(FIRST_SECONDS_MS);
        long work = workNs.get();
        System.out.println(
                "first two seconds of a worker in slow start, clock off by "
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
                client.send(requestText(name + "-" + i, i % 2 == 0 ? "read" : "submit", "2000m"))
                        .message();
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Guards against a slow start that compares the worker's start time with the wrong wall clock.
     * A busy machine can only reduce the work below the budget, so the larger of the two runs with
     * the right clock is nearer to it.
     */
    @Test
    void slowStartWorksWhenWallClockIsAnHourOff() throws Exception {
        long before = workOfANewWorkerNs(Duration.ZERO);
        long ahead = workOfANewWorkerNs(Duration.ofHours(1));
        long between = workOfANewWorkerNs(Duration.ZERO);
        long behind = workOfANewWorkerNs(Duration.ofHours(-1));
        long withRightClock = Math.max(before, between);
        assertTrue(withRightClock > 0, "the new worker gets work");
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
