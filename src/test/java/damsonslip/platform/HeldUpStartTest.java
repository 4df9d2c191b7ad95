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

/** A start that is slow because a hundred other processes start on the same machine. */
class HeldUpStartTest extends PlatformStage {
    /** Longer than a restart may usually take, and a third of the 30 s that any start may take. */
    private static final long STALL_MS = 10_500;

    private static final long LATE_CONFIGURATION_MS = 3_000;

    /** The list that a start begins with expires before that. */
    private static final long TOO_LATE_CONFIGURATION_MS = 5_000;

    private static final long FIRST_ANSWER_MS = 700;

    /**
     * The previous process is taken to have ended 1.7 s before this one began; a change takes
     * effect 6 s later, and the drain grace and slack are added.
     */
    private static final long COUNTS_AND_GRACE_MS = 4_850;

    /**
     * Guards against a start that exits on a time-out although it would be ready the next moment.
     */
    @Test
    void doesNotAbandonAStalledStart() throws Exception {
        CountDownLatch polled = new CountDownLatch(1);
        discovery =
                new Peer.Server(
                        0,
                        peer -> {
                            peer.message();
                            polled.countDown();
                            Thread.sleep(30_000);
                        });
        servers.add(discovery);
        Path file = config(list(7, true, worker("a", SERVE)));
        Files.writeString(file, Files.readString(file).replace("on_request", "pushed"));
        program = new Program(file, "serve");
        assertTrue(polled.await(10, TimeUnit.SECONDS), "it waits for the first list");
        program.signal("STOP");
        Thread.sleep(STALL_MS);
        program.signal("CONT");
        program.awaitOutput("listens on");
        assertEquals(200, exchange(requestText("q1", "submit", "2000m")).status());
    }

    /**
     * The age of the list that a start begins with counts from the end of the previous process,
     * however long the start takes.
     */
    @Test
    void includesStartTimeInAgeOfInitialList() throws Exception {
        discovery = new Peer.Server(0, PlatformStage::failBusy);
        servers.add(discovery);
        long begunNs = startWithLateConfiguration(LATE_CONFIGURATION_MS);
        long leftMs = COUNTS_AND_GRACE_MS - (System.nanoTime() - begunNs) / 1_000_000;
        Thread.sleep(Math.max(0, leftMs)); // a program that listens later must reject as well
        for (int i = 0; i < 20; i++) {
            assertEquals(503, exchange(requestText("late" + i, "read", "1000m")).status());
            Thread.sleep(100);
        }
        assertEquals(0, jobs("a"));
    }

    /**
     * The initial list has expired and the one from discovery is on its way: queries that arrive
     * meanwhile wait for it.
     */
    @Test
    void holdsQueriesUntilFirstDiscoveryCallWhenInitialListHasExpired() throws Exception {
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

    /**
     * Starts the program with a configuration that arrives late; returns the latest time at which
     * the program can have begun.
     */
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
