package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.Program;
import damsonslip.testkit.RedisStandIn;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against peers that fill the heap together though each keeps to the limits for one: the
 * server then answered nobody any more and did not end either.
 */
class SharedMemoryTest {
    private static final List<String> SMALL_HEAP = List.of("-Xmx32m");

    /** Within the connections of the operator's file. */
    private static final int BAD_PEERS = 790;

    /** Below the size up to which each connection's command was accepted in any case. */
    private static final int INCOMPLETE_BYTES = 32_000;

    private static final int LARGE_JOB_BYTES = 500_000;
    private static final int READERS = 60;

    /** Their names fit into four kilobytes. */
    private static final int QUEUES = 1_400;

    /** Their text is within the size that is always accepted. */
    private static final int BULK_JOBS = 85;

    private static final int LARGE_BULK_JOBS = 1_000;

    private static final long STALL_MS = 1_500;

    @TempDir Path dir;
    private RedisStandIn redis;
    private FaktoryServer server;
    private Program program;

    @AfterEach
    void end() throws Exception {
        server.close();
    }

    private void start(String... replacements) throws IOException {
        redis = new RedisStandIn();
        server = new FaktoryServer(dir, redis, replacements);
        server.closing(redis);
        program = server.start(server.port, "small-heap", SMALL_HEAP);
    }

    private void assertServes() throws IOException {
        try (FaktoryPeer producer = server.peer("")) {
            assertEquals("+OK", producer.plain("job-00001", ""));
        }
        assertFalse(program.output().contains("OutOfMemory"), program.output());
    }

    @Test
    void incompleteCommandsDoNotFillHeap() throws Exception {
        start();
        for (int i = 0; i < BAD_PEERS; i++) {
            sendUnlessClosed(server.peer(""), "PUSH " + "x".repeat(INCOMPLETE_BYTES));
        }
        assertServes();
    }

    /** The names of the queues are kept while a FETCH waits, and afterwards. */
    @Test
    void fetchesFromManyQueuesDoNotFillHeap() throws Exception {
        start();
        String fetch =
                IntStream.range(0, QUEUES)
                        .mapToObj(i -> Integer.toString(i, Character.MAX_RADIX))
                        .collect(Collectors.joining(" ", "FETCH ", "\r\n"));
        for (int i = 0; i < BAD_PEERS; i++) {
            sendUnlessClosed(server.peer("w" + i), fetch);
        }
        assertServes();
    }

    /** While the store does not answer, each job that is being pushed takes a kilobyte. */
    @Test
    void bulkPushesDoNotFillHeapWhileStoreHangs() throws Exception {
        start("waiting = 200000 ", "waiting = 2000 ", "per_queue = 200000 ", "per_queue = 2000 ");
        List<FaktoryPeer> producers = new ArrayList<>();
        for (int i = 0; i < BAD_PEERS; i++) {
            producers.add(server.peer(""));
        }
        for (int i = 0; i < BAD_PEERS; i++) {
            redis.stall(STALL_MS); // anew, so that it hangs until all have sent
            int jobs = i % 2 == 0 ? BULK_JOBS : LARGE_BULK_JOBS;
            sendUnlessClosed(producers.get(i), bulkPush(i, jobs));
        }
        Thread.sleep(STALL_MS);
        Program.await("it serves", this::serves, program);
    }

    private static String bulkPush(int producer, int jobs) {
        return IntStream.range(0, jobs)
                .mapToObj(
                        job ->
                                "{\"jid\":\"b-%04d-%04d\",\"jobtype\":\"t\",\"args\":[]}"
                                        .formatted(producer, job))
                .collect(Collectors.joining(",", "PUSHB [", "]\r\n"));
    }

    /** Makes room first, since jobs that were taken after the stall may fill the table. */
    private boolean serves() {
        try (FaktoryPeer operator = server.peer("")) {
            assertEquals("+OK", operator.call("FLUSH"));
            assertServes();
            return true;
        } catch (IOException | AssertionError e) {
            return false;
        }
    }

    private static void sendUnlessClosed(FaktoryPeer peer, String text) {
        try {
            peer.peer().send(text);
        } catch (IOException e) {
            // closed while it was sending
        }
    }

    /** A small window, so that nearly all of a reply stays with the server. */
    @Test
    void repliesThatAreNotReadDoNotFillHeap() throws Exception {
        start();
        String large = "\"" + "x".repeat(LARGE_JOB_BYTES) + "\"";
        List<FaktoryPeer> readers = new ArrayList<>();
        for (int i = 0; i < READERS; i++) {
            try (FaktoryPeer producer = server.peer("")) {
                producer.call(
                        "PUSH {\"jid\":\"large-"
                                + i
                                + "\",\"jobtype\":\"t\",\"args\":["
                                + large
                                + "]}");
            }
            FaktoryPeer reader = server.peer("w" + i);
            readers.add(reader);
            sendUnlessClosed(reader, "FETCH default\r\n");
        }
        assertServes();
    }
}
