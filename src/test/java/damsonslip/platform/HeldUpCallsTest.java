package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import damsonslip.tools.lab.soak.Errno;
import damsonslip.tools.lab.soak.SystemCall;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The real program while the system interrupts its calls or holds them up. */
class HeldUpCallsTest extends FaultStage {
    /**
     * Of the 0.15 s that are allowed, most is for a hold-up between the look at the clock and the
     * write.
     */
    private static final long SLACK_MS = 50;

    private static final long TIME_LEFT_MS = 4_000;

    /**
     * By how much a worker was told more than its client had left when the request came there, in
     * milliseconds.
     */
    private long toldTooMuch(SystemCall held, int holdMs) throws Exception {
        Map<String, Long> sentNs = new ConcurrentHashMap<>();
        List<Long> tooMuch = new CopyOnWriteArrayList<>();
        startWithFaults(
                worker(
                        "a",
                        (peer, job) -> {
                            Long sent = sentNs.get(String.valueOf(job.field("X-Correlation-Id")));
                            if (sent != null) {
                                tooMuch.add(
                                        millis(job)
                                                - (TIME_LEFT_MS
                                                        - (System.nanoTime() - sent) / 1_000_000));
                            }
                            SERVE.on(peer, job);
                        }));
        warm();
        Peer kept = Peer.connect(port).send(requestText("kept", "read", TIME_LEFT_MS + "m"));
        assertEquals(200, kept.message().status());
        faults.hold(held, holdMs);
        Thread.sleep(
                held == SystemCall.EPOLL_WAIT ? 2L * holdMs : 0); // until a wait is being held up
        sentNs.put("new", System.nanoTime());
        Peer.connect(port).send(requestText("new", "read", TIME_LEFT_MS + "m"));
        sentNs.put("again", System.nanoTime());
        kept.send(requestText("again", "read", TIME_LEFT_MS + "m"));
        Thread.sleep(holdMs / 2);
        faults.restore(held);
        Program.await("all were sent on", () -> tooMuch.size() == sentNs.size());
        return tooMuch.stream().mapToLong(Long::longValue).max().orElseThrow();
    }

    /** A cold program's own slowness is another matter. */
    private void warm() throws IOException {
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    200, exchange(requestText("warm" + i, "read", TIME_LEFT_MS + "m")).status());
        }
    }

    private static long millis(Message job) {
        String told = job.field("X-Time-Left");
        long figure = Long.parseLong(told.substring(0, told.length() - 1));
        return told.endsWith("u") ? figure / 1_000 : figure;
    }

    @ParameterizedTest
    @EnumSource(
            value = SystemCall.class,
            names = {"ACCEPT", "SOCKET_READ", "EPOLL_WAIT"})
    void tellsNoMoreTimeThanIsLeftWhereACallIsHeldUp(SystemCall held) throws Exception {
        long tooMuch = toldTooMuch(held, 600);
        assertTrue(tooMuch <= SLACK_MS, tooMuch + " ms too much");
    }

    /**
     * Where nothing is held up hardly anything is taken: a first connection after a rest, and a
     * kept one.
     */
    @Test
    void tellsNearlyAllThatIsLeftInQuietTimes() throws Exception {
        startWithFaults(worker("a", SERVE));
        warm();
        receivedJobs.get("a").clear();
        Thread.sleep(1_500);
        try (Peer client = Peer.connect(port)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        200,
                        client.send(requestText("q" + i, "read", TIME_LEFT_MS + "m"))
                                .message()
                                .status());
                Thread.sleep(300);
            }
        }
        long least =
                receivedJobs.get("a").stream()
                        .mapToLong(HeldUpCallsTest::millis)
                        .min()
                        .orElseThrow();
        assertTrue(least >= TIME_LEFT_MS - 100, "told " + least + " ms of " + TIME_LEFT_MS);
    }

    @Test
    void goesOnWhereReadsAreInterrupted() throws Exception {
        startWithFaults(worker("a", SERVE));
        faults.fail(SystemCall.SOCKET_READ, Errno.EINTR, 3);
        assertAllAnswered(outcomesOfNewConnections(CLIENTS));
        faults.restore(SystemCall.SOCKET_READ);
        assertFalse(hasCounter("executions_reset"), "no answer of a worker was taken for its end");
    }

    @Test
    void goesOnWhereWritesAreInterruptedOrShort() throws Exception {
        startWithFaults(worker("a", SERVE));
        faults.fail(SystemCall.SOCKET_WRITE, Errno.EINTR, 3);
        faults.shorten(SystemCall.SOCKET_WRITE, 40);
        assertAllAnswered(outcomesOfNewConnections(CLIENTS));
    }

    /**
     * Where the kernel is out of memory a transfer fails and the connection stands (recv(2),
     * send(2)).
     */
    @ParameterizedTest
    @CsvSource({
        "SOCKET_READ,ENOMEM",
        "SOCKET_READ,ENOBUFS",
        "SOCKET_WRITE,ENOMEM",
        "SOCKET_WRITE,ENOBUFS"
    })
    void losesNothingWhereTransfersFailForLackOfMemory(SystemCall call, Errno error)
            throws Exception {
        startWithFaults(worker("a", SERVE));
        faults.fail(call, error, 4);
        assertAllAnswered(outcomesOfNewConnections(CLIENTS));
        faults.restore(call);
        assertFalse(hasCounter("executions_reset"), "no connection to a worker was given up");
        assertFalse(hasCounter("queries_gone"), "no client was taken to have left");
    }

    /**
     * Where the kernel has no memory to watch a socket, the socket is well and says nothing
     * (epoll_ctl(2)).
     */
    @ParameterizedTest
    @EnumSource(
            value = Errno.class,
            names = {"ENOMEM", "ENOSPC"})
    void losesNothingWhereSocketsCannotBeWatched(Errno error) throws Exception {
        startWithFaults(worker("a", SERVE));
        faults.fail(SystemCall.EPOLL_CTL, error, 2);
        assertAllAnswered(outcomesOfNewConnections(CLIENTS));
        for (int i = 0; i < 10; i++) {
            try (Peer kept = Peer.connect(port)) {
                for (int k = 0; k < 5; k++) {
                    int status =
                            kept.send(requestText("k" + i + "-" + k, "read", TIME_LEFT_MS + "m"))
                                    .message()
                                    .status();
                    assertTrue(status == 200 || status == 503, "status " + status);
                    Thread.sleep(20);
                }
            }
        }
        assertTrue(faults.calls(SystemCall.EPOLL_CTL) > CLIENTS, "there was something to fail");
    }
}
