package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that peers below the minimum data rate are disconnected, that peers which pipeline commands
 * have to wait, and that other clients are not affected.
 */
class SlowPeersTest {
    /** Longer than the configured grace period and longest pause. */
    private static final long LONG_MS = 6_000;

    /** The interval of bursts of 1.5 kB, which is on average the required rate of 1 kB/s. */
    private static final long BURST_MS = 1_500;

    /** Shorter than the longest pause that is allowed. */
    private static final long PAUSE_MS = 3_500;

    @TempDir Path dir;
    private FaktoryServer server;

    @BeforeEach
    void start() throws IOException {
        server =
                new FaktoryServer(
                        dir,
                        "memory",
                        "",
                        "grace_s = 10",
                        "grace_s = 2",
                        "longest_pause_s = 20",
                        "longest_pause_s = 5",
                        "_per_s = 500 ",
                        "_per_s = 1000 ");
        server.start();
    }

    @AfterEach
    void end() throws Exception {
        server.close();
    }

    private FaktoryPeer peer() throws IOException {
        return server.peer("");
    }

    @Test
    void disconnectsTricklingPeerButNotBurstyOrPausingOnes() throws Exception {
        FaktoryPeer trickling = peer();
        FaktoryPeer bursty = peer();
        FaktoryPeer pausing = peer();
        String filler = "x".repeat(1_500);
        bursty.peer().send("PUSH {\"jid\":\"job-00001\",\"jobtype\":\"t\",\"args\":[\"");
        pausing.peer()
                .send(
                        "PUSH {\"jid\":\"job-00002\",\"jobtype\":\"t\",\"args\":[\""
                                + filler.repeat(10));
        trickling.peer().send("PUSH {");
        long from = System.nanoTime();
        int sent = 0;
        boolean paused = true;
        for (long ms = 0; ms < LONG_MS; ms = (System.nanoTime() - from) / 1_000_000) {
            Thread.sleep(100);
            trickle(trickling);
            // by elapsed time, since an iteration may take longer than its sleep
            while (sent < ms / BURST_MS) {
                bursty.peer().send(filler);
                sent++;
            }
            if (paused && ms > PAUSE_MS) {
                paused = false;
                pausing.peer().send("\"]}\r\n");
            }
        }
        bursty.peer().send("\"]}\r\n");
        assertEquals("+OK", bursty.peer().line());
        assertEquals("+OK", pausing.peer().line());
        assertEquals(1, peer().info().path("counters").path("slow_senders_let_go").asInt());
        assertTrue(
                server.program()
                        .output()
                        .contains("is disconnected for its low data rate: it sends a command at"),
                server.program().output());
    }

    private static void trickle(FaktoryPeer peer) {
        try {
            peer.peer().send("x");
        } catch (IOException e) {
            return; // it has been disconnected
        }
    }

    /**
     * A peer that sends commands and never reads the replies is disconnected after a grace period
     * without progress.
     */
    @Test
    void disconnectsPeerThatNeverReads() throws Exception {
        FaktoryPeer nonReading = peer();
        String many = "INFO\r\n".repeat(1_000);
        startThread(
                () -> {
                    for (int i = 0; i < 200; i++) {
                        nonReading.peer().send(many);
                    }
                });
        FaktoryPeer plain = peer();
        long end = System.nanoTime() + 40_000_000_000L;
        while (plain.info().path("counters").path("slow_readers_let_go").asInt() == 0) {
            assertTrue(System.nanoTime() < end, "the peer was not disconnected");
            Thread.sleep(100);
        }
    }

    /**
     * A peer that reads its replies pipelines far more commands than a buffer holds: each is
     * answered, in order.
     */
    @Test
    void answersPipelinedCommandsInOrder() throws Exception {
        FaktoryPeer pipelining = peer();
        for (int part = 0; part < 10; part++) {
            pipelining.peer().send("JUMP\r\n".repeat(2_000));
            for (int i = 0; i < 2_000; i++) {
                assertEquals("-ERR unknown command JUMP", pipelining.peer().line());
            }
        }
    }

    /**
     * A hundred connections pipeline thousands of commands, and only half of them read the replies;
     * an ordinary client is still served.
     */
    @Test
    void servesOrdinaryClientDuringFloodOfPipelinedCommands() throws Exception {
        for (int i = 0; i < 100; i++) {
            FaktoryPeer flooding = peer();
            startThread(() -> flood(flooding));
            if (i % 2 == 0) {
                startThread(() -> readToEnd(flooding));
            }
        }
        Thread.sleep(200);
        long worst = 0;
        for (int i = 0; i < 10; i++) {
            long from = System.nanoTime();
            try (FaktoryPeer plain = new FaktoryPeer(server.port, "w" + i, "")) {
                assertEquals("+OK", plain.plain("job-0000" + i, ""));
                assertEquals("job-0000" + i, plain.fetch("default", 0));
                assertEquals("+OK", plain.ack("job-0000" + i));
            }
            worst = Math.max(worst, (System.nanoTime() - from) / 1_000_000);
        }
        System.out.println(
                "with 100 flooding connections: HELLO, PUSH, FETCH and ACK in "
                        + worst
                        + " ms at most");
        assertTrue(worst < 2_000, worst + " ms");
    }

    private interface PeerTask {
        void run() throws IOException;
    }

    /** Runs a task on a daemon thread, until it ends or its connection is closed. */
    private static void startThread(PeerTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                return; // closed by the server, or the test has ended
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void flood(FaktoryPeer peer) throws IOException {
        String many = "INFO\r\n".repeat(1_400);
        for (int i = 0; i < 20; i++) {
            peer.peer().send(many);
        }
    }

    private static void readToEnd(FaktoryPeer peer) throws IOException {
        String part = peer.peer().bytes(8_192);
        while (part != null) {
            part = peer.peer().bytes(8_192);
        }
    }
}
