package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A start on a machine where a hundred others start at once. */
class HeldUpStartTest extends PlatformStage {
    /**
     * Longer than a restart may usually take, and a third of the 30 s that the pages leave any
     * start.
     */
    private static final long HELD_UP_MS = 10_500;

    private static final long LATE_CONFIGURATION_MS = 3_000;

    /** The list that a start begins with ends before that. */
    private static final long TOO_LATE_CONFIGURATION_MS = 5_000;

    private static final long FIRST_ANSWER_MS = 700;

    /**
     * The process before ended 1.7 s before the program began; a change counts 6 s later, then the
     * grace and slack.
     */
    private static final long COUNTS_AND_GRACE_MS = 4_850;

    /** Guards against a start that ends the program, though it would be ready the next moment. */
    @Test
    void aStartThatTheMachineHoldsUpIsNotGivenUp() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        discovery =
                new Peer.Server(
                        0,
                        peer -> {
                            peer.message();
                            asked.countDown();
                            Thread.sleep(30_000);
                        });
        servers.add(discovery);
        Path file = config(list(7, true, worker("a", SERVE)));
        Files.writeString(file, Files.readString(file).replace("on_request", "pushed"));
        program = new Program(file, "serve");
        assertTrue(asked.await(10, TimeUnit.SECONDS), "it waits for the first list");
        program.signal("STOP");
        Thread.sleep(HELD_UP_MS);
        program.signal("CONT");
        program.awaitOutput("listens on");
        assertEquals(200, exchange(requestText("q1", "submit", "2000m")).status());
    }

    /**
     * The list that a start begins with is as old as the end of the process before, however long
     * the start takes.
     */
    @Test
    void countsItsOwnStartAmongTheAgeOfTheListThatItBeginsWith() throws Exception {
        discovery = new Peer.Server(0, PlatformStage::failBusy);
        servers.add(discovery);
        long begunNs = startWithLateConfiguration(LATE_CONFIGURATION_MS);
        long leftMs = COUNTS_AND_GRACE_MS - (System.nanoTime() - begunNs) / 1_000_000;
        Thread.sleep(Math.max(0, leftMs)); // what listens later has to refuse as well
        for (int i = 0; i < 20; i++) {
            assertEquals(503, exchange(requestText("late" + i, "read", "1000m")).status());
            Thread.sleep(100);
        }
        assertEquals(0, jobs("a"));
    }

    /**
     * The list it begins with has ended by then, and discovery's is on its way: who comes meanwhile
     * waits for that.
     */
    @Test
    void holdsWhatComesUntilItsFirstCallHasEndedThoughItsListIsTooOld() throws Exception {
        discovery =
                new Peer.Server(
                        0,
                        peer -> {
                            peer.message();
                            Thread.sleep(FIRST_ANSWER_MS);
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                    .chunk(list(7, false));
                            Thread.sleep(30_000);
                        });
        servers.add(discovery);
        startWithLateConfiguration(TOO_LATE_CONFIGURATION_MS);
        assertEquals(200, exchange(requestText("q1", "read", "4000m")).status());
    }

    /** Its configuration comes so late; gives when the program had begun at the latest. */
    private long startWithLateConfiguration(long lateMs) throws Exception {
        String text = Files.readString(config(list(7, true, worker("a", SERVE))));
        Path pipe = dir.resolve("pipe"); // its reader waits for a writer
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        program = new Program(pipe, "serve");
        long begunNs;
        try (OutputStream configuration =
                Files.newOutputStream(pipe)) { // waits for its reader: the program has begun
            begunNs = System.nanoTime();
            Thread.sleep(lateMs);
            configuration.write(text.getBytes(StandardCharsets.UTF_8));
        }
        program.awaitOutput("listens on");
        return begunNs;
    }
}
