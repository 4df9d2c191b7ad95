package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** SIGTERM at unusual moments, and with short deadlines. */
class StopTest extends PlatformStage {
    private static final int PIPE_BYTES = 64 * 1024;

    /**
     * With short deadlines the process may be killed sooner, 0.7 s after the longest of them, so it
     * has to answer by then.
     */
    @Test
    void shutdownTimeFollowsDeadlinesInSettings() throws Exception {
        Path file = config(list(7, true, worker("a", NO_RESPONSE)));
        Files.writeString(
                file, Files.readString(file).replace("\"hard_limit_s\":5", "\"hard_limit_s\":0.8"));
        program = new Program(file, "serve").awaitOutput("listens on");
        Peer beforeStop = Peer.connect(port).send(requestText("q1", "submit", "20000m"));
        Program.await("it is sent", () -> jobs("a") == 1);
        long before = System.nanoTime();
        program.terminate();
        Thread.sleep(400);
        Peer afterStop = Peer.connect(port).send(requestText("q2", "submit", "20000m"));
        assertEquals(502, beforeStop.message().status());
        assertTrue(afterStop.message().status() >= 500);
        assertTrue(
                System.nanoTime() - before < 1_500_000_000L,
                "answered before the process may be killed");
        assertEquals(143, program.exit());
    }

    /**
     * The program listens but its start is not finished, because its last log line blocks on a full
     * pipe. A SIGTERM at that moment must still answer the requests that were accepted.
     */
    @Test
    void stopBetweenListeningAndEndOfStartAnswersAcceptedRequests() throws Exception {
        Path pipe = dir.resolve("log");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        try (RandomAccessFile log = new RandomAccessFile(pipe.toFile(), "rw")) {
            log.write(new byte[PIPE_BYTES]);
            Path file =
                    config(
                            list(
                                    7,
                                    true,
                                    worker(
                                            "a",
                                            (peer, job) -> {
                                                Thread.sleep(700);
                                                SERVE.on(peer, job);
                                            })));
            program =
                    new Program(file, List.of("-Dorg.slf4j.simpleLogger.logFile=" + pipe), "serve");
            Peer client = connectOnceListening();
            client.send(requestText("q1", "submit", "4000m"));
            Program.await("it is sent", () -> jobs("a") == 1);
            program.terminate();
            assertEquals("r-q1", client.message().body());
            log.readFully(new byte[PIPE_BYTES]);
            assertEquals(143, program.exit());
        }
    }

    private Peer connectOnceListening() {
        Peer[] client = new Peer[1];
        Program.await(
                "the program listens",
                () -> {
                    try {
                        client[0] = Peer.connect(port);
                        return true;
                    } catch (java.io.IOException e) {
                        return false;
                    }
                });
        return client[0];
    }

    /** Before the program listens there is nothing to answer, so SIGTERM ends the start. */
    @Test
    void stopBeforeListeningEndsStart() throws Exception {
        Peer.Server agent =
                new Peer.Server(
                        0,
                        peer ->
                                Thread.sleep(
                                        30_000)); // the source of pushed lists, which sends none
        servers.add(agent);
        Path file = config(list(7, true, worker("a", SERVE)));
        Files.writeString(
                file,
                Files.readString(file)
                        .replace("on_request", "pushed")
                        .replace("127.0.0.1:" + discovery.port(), "127.0.0.1:" + agent.port()));
        program = new Program(file, "serve");
        Program.await("the start waits for a list", () -> agent.connections() == 1);
        program.terminate();
        assertEquals(143, program.exit());
        assertTrue(!program.output().contains("Exception"), program.output());
    }
}
