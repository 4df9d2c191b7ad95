package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Probes as the only source of the workers' load and health. */
class ProbesTest extends PlatformStage {
    private final AtomicInteger probes = new AtomicInteger();

    private Peer.Server start(long answersAfterMs) throws IOException {
        Peer.Server server =
                new Peer.Server(
                        0,
                        peer -> {
                            while (true) {
                                peer.message();
                                probes.incrementAndGet();
                                Thread.sleep(answersAfterMs);
                                peer.send(
                                        "HTTP/1.1 200 OK\r\n"
                                                + "X-Backend-Load: TEXT x0=3\r\n"
                                                + "Content-Length: 0\r\n\r\n");
                            }
                        });
        servers.add(server);
        Path file = config(list(7, true, entry("a", server.port(), "ready")));
        Files.writeString(
                file,
                Files.readString(file)
                        .replace("\"may_cancel\":true", "\"may_cancel\":true,\"may_probe\":true")
                        .replace(
                                "\"lanes\"",
                                "\"reporting\":{\"how\":\"pull\",\"fields\":[\"x0\"]},\"lanes\""));
        program = new Program(file, "serve").awaitOutput("listens on");
        return server;
    }

    /**
     * A worker is probed every 0.4 s and each probe times out after 0.5 s. Guards against the
     * timeout of an answered probe ending the next one on the same connection.
     */
    @Test
    void timeoutOfAnsweredProbeDoesNotEndNextProbe() throws Exception {
        Peer.Server worker = start(250);
        Program.await("eight probes", () -> probes.get() >= 8);
        assertEquals(1, worker.connections(), "all probes use one connection");
    }

    /**
     * A probe that times out closes its connection; otherwise its late answer would be taken for
     * the next probe's.
     */
    @Test
    void unansweredProbeClosesItsConnection() throws Exception {
        Peer.Server worker = start(3_000);
        Program.await("three probes", () -> probes.get() >= 3);
        assertEquals(probes.get(), worker.connections(), "each probe uses a connection of its own");
    }
}
