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

    @TempDir Path dir;
    private FaktoryServer server;
    private Program program;

    @AfterEach
    void end() throws Exception {
        server.close();
    }

    private void start() throws IOException {
        RedisStandIn redis = new RedisStandIn();
        server = new FaktoryServer(dir, redis);
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
