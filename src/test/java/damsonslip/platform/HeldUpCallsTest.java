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

/** The real program while system calls are interrupted, fail or take long. */
class HeldUpCallsTest extends FaultStage {
    /**
     * Of the 0.15 s that are allowed, most is for a delay between reading the clock and the write.
     */
    private static final long SLACK_MS = 50;

    private static final long TIME_LEFT_MS = 4_000;

    /**
     * Returns by how many milliseconds the time left that a worker was told exceeds what its client
     * had left when the request arrived there.
     */
    private long excessMs(SystemCall delayedCall, int delayMs) throws Exception {
        Map<String, Long> sentNs = new ConcurrentHashMap<>();
        List<Long> excess = new CopyOnWriteArrayList<>();
        startWithFaults(
                worker(
                        "a",
                        (peer, job) -> {
                            Long sent = sentNs.get(String.valueOf(job.field("X-Correlation-Id")));
                            if (sent != null) {
                                excess.add(
                                        millis(job)
                                                - (TIME_LEFT_MS
                                                        - (System.nanoTime() - sent) / 1_000_000));
                            }
                            SERVE.on(peer, job);
                        }));
        warmUp();
        Peer kept = Peer.connect(port).send(requestText("kept", "read", TIME_LEFT_MS + "m"));
        assertEquals(200, kept.message().status());
        faults.hold(delayedCall, delayMs);
        Thread.sleep(
                delayedCall == SystemCall.EPOLL_WAIT
                        ? 2L * delayMs
                        : 0); // until a wait is being delayed
        sentNs.put("new", System.nanoTime());
        Peer.connect(port).send(requestText("new", "read", TIME_LEFT_MS + "m"));
        sentNs.put("again", System.nanoTime());
        kept.send(requestText("again", "read", TIME_LEFT_MS + "m"));
        Thread.sleep(delayMs / 2);
        faults.restore(delayedCall);
        Program.await("all were forwarded", () -> excess.size() == sentNs.size());
        return excess.stream().mapToLong(Long::longValue).max().orElseThrow();
    }

    /** Warms up the program, so that its initial slowness is not measured. */
    private void warmUp() throws IOException {
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    200, exchange(requestText("warm" + i, "read", TIME_LEFT_MS + "m")).status());
        }
    }

    private static long millis(Message job) {
        String timeLeft = job.field("X-Time-Left");
        long figure = Long.parseLong(timeLeft.substring(0, timeLeft.length() - 1));
        return timeLeft.endsWith("u") ? figure / 1_000 : figure;
    }

    @ParameterizedTest
    @EnumSource(
            value = SystemCall.class,
            names = {"ACCEPT", "SOCKET_READ", "EPOLL_WAIT"})
    void reportsNoMoreTimeThanIsLeftWhenACallIsDelayed(SystemCall delayedCall) throws Exception {
        long excess = excessMs(delayedCall, 600);
        assertTrue(excess <= SLACK_MS, excess + " ms too much");
    }

    /**
     * Without delays hardly anything is deducted: on a first connection after an idle period, and
     * on a kept one.
     */
    @Test
    void reportsNearlyAllTimeLeftWithoutDelays() throws Exception {
        startWithFaults(worker("a", SERVE));
        warmUp();
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
        assertTrue(least >= TIME_LEFT_MS - 100, "reported " + least + " ms of " + TIME_LEFT_MS);
    }

    @Test
    void continuesWhenReadsAreInterrupted() throws Exception {
        startWithFaults(worker("a", SERVE));
        faults.fail(SystemCall.SOCKET_READ, Errno.EINTR, 3);
        assertAllAnswered(outcomesOfNewConnections(CLIENTS));
        faults.restore(SystemCall.SOCKET_READ);
        assertFalse(
                hasCounter("executions_reset"),
                "no interrupted read was taken for a reset by the worker");
    }

    @Test
    void continuesWhenWritesAreInterruptedOrShort() throws Exception {
        startWithFaults(worker("a", SERVE));
        faults.fail(SystemCall.SOCKET_WRITE, Errno.EINTR, 3);
        faults.shorten(SystemCall.SOCKET_WRITE, 40);
        assertAllAnswered(outcomesOfNewConnections(CLIENTS));
    }

    /**
     * When the kernel is out of memory a transfer fails but the connection remains usable (recv(2),
     * send(2)).
     */
    @ParameterizedTest
    @CsvSource({
        "SOCKET_READ,ENOMEM",
        "SOCKET_READ,ENOBUFS",
        "SOCKET_WRITE,ENOMEM",
        "SOCKET_WRITE,ENOBUFS"
    })
    void answersAllWhenTransfersFailForLackOfMemory(SystemCall call, Errno error) throws Exception {
        startWithFaults(worker("a", SERVE));
        faults.fail(call, error, 4);
        assertAllAnswered(outcomesOfNewConnections(CLIENTS));
        faults.restore(call);
        assertFalse(hasCounter("executions_reset"), "no connection to a worker was abandoned");
        assertFalse(hasCounter("queries_gone"), "no client was taken for disconnected");
    }

    /**
     * When the kernel has no memory to watch a socket, the socket remains usable but signals no
     * events (epoll_ctl(2)).
     */
    @ParameterizedTest
    @EnumSource(
            value = Errno.class,
            names = {"ENOMEM", "ENOSPC"})
    void answersAllWhenSocketsCannotBeWatched(Errno error) throws Exception {
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
