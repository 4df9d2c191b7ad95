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
 * Peers that send or read slowly, and peers that send far ahead: they go, or wait, and nobody else
 * notices.
 */
class SlowPeersTest {
    /** Longer than the grace and the longest pause of a link that is held to its rate. */
    private static final long LONG_MS = 6_000;

    /** A kilobyte a second is asked for; so often one and a half come at once. */
    private static final long BURST_MS = 1_500;

    /** Within the longest pause that is allowed. */
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
    void aTricklerIsToldAndLetGoWhileSlowButSteadyAndPausingPeersAreServed() throws Exception {
        FaktoryPeer trickles = peer();
        FaktoryPeer bursts = peer();
        FaktoryPeer pauses = peer();
        String filler = "x".repeat(1_500);
        bursts.peer().send("PUSH {\"jid\":\"job-00001\",\"jobtype\":\"t\",\"args\":[\"");
        pauses.peer()
                .send(
                        "PUSH {\"jid\":\"job-00002\",\"jobtype\":\"t\",\"args\":[\""
                                + filler.repeat(10));
        trickles.peer().send("PUSH {");
        long from = System.nanoTime();
        int sent = 0;
        boolean paused = true;
        for (long ms = 0; ms < LONG_MS; ms = (System.nanoTime() - from) / 1_000_000) {
            Thread.sleep(100);
            trickle(trickles);
            for (;
                    sent < ms / BURST_MS;
                    sent++) { // by the clock: on a busy machine a turn takes longer than it sleeps
                bursts.peer().send(filler);
            }
            if (paused && ms > PAUSE_MS) {
                paused = false;
                pauses.peer().send("\"]}\r\n");
            }
        }
        bursts.peer().send("\"]}\r\n");
        assertEquals("+OK", bursts.peer().line());
        assertEquals("+OK", pauses.peer().line());
        assertEquals(1, peer().info().path("counters").path("slow_senders_let_go").asInt());
        assertTrue(
                server.program().said().contains("is let go: it sends a command at"),
                server.program().said());
    }

    private static void trickle(FaktoryPeer peer) {
        try {
            peer.peer().send("x");
        } catch (IOException e) {
            return; // it has been let go
        }
    }

    /**
     * Who sends commands and never reads what comes back is closed once nothing moves for its
     * grace.
     */
    @Test
    void whoNeverReadsIsLetGo() throws Exception {
        FaktoryPeer mute = peer();
        String many = "INFO\r\n".repeat(1_000);
        Thread sends =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; i < 200; i++) {
                                    mute.peer().send(many);
                                }
                            } catch (IOException e) {
                                return; // it has been closed, as it should be
                            }
                        });
        sends.setDaemon(true);
        sends.start();
        FaktoryPeer plain = peer();
        long end = System.nanoTime() + 40_000_000_000L;
        while (plain.info().path("counters").path("slow_readers_let_go").asInt() == 0) {
            assertTrue(System.nanoTime() < end, "it was not let go");
            Thread.sleep(100);
        }
    }

    /**
     * Far more commands than a buffer holds, sent ahead by one that reads: each is answered, in
     * order.
     */
    @Test
    void whoSendsFarAheadAndReadsIsAnsweredToTheEnd() throws Exception {
        FaktoryPeer ahead = peer();
        for (int part = 0; part < 10; part++) {
            ahead.peer().send("JUMP\r\n".repeat(2_000));
            for (int i = 0; i < 2_000; i++) {
                assertEquals("-ERR unknown command JUMP", ahead.peer().line());
            }
        }
    }

    /**
     * A hundred links send thousands of commands ahead, half of them reading; a plain client works
     * beside them.
     */
    @Test
    void aFloodOfCommandsAheadLeavesAPlainClientItsTurn() throws Exception {
        String many = "INFO\r\n".repeat(1_400);
        for (int i = 0; i < 100; i++) {
            FaktoryPeer floods = peer();
            Thread sends =
                    new Thread(
                            () -> {
                                try {
                                    for (int n = 0; n < 20; n++) {
                                        floods.peer().send(many);
                                    }
                                } catch (IOException e) {
                                    return; // the test is over
                                }
                            });
            sends.setDaemon(true);
            sends.start();
            if (i % 2 == 0) {
                Thread reads =
                        new Thread(
                                () -> {
                                    try {
                                        String part = floods.peer().bytes(8_192);
                                        while (part != null) { // as fast as it comes
                                            part = floods.peer().bytes(8_192);
                                        }
                                    } catch (IOException e) {
                                        return; // the test is over
                                    }
                                });
                reads.setDaemon(true);
                reads.start();
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
                "beside 100 links that flood: HELLO, PUSH, FETCH and ACK in "
                        + worst
                        + " ms at the worst");
        assertTrue(worst < 2_000, worst + " ms");
    }
}
