package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.DeployFile;
import damsonslip.testkit.LateServer;
import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A restarted scheduler becomes ready in time while discovery is unavailable, and serves from the
 * endpoint list in its configuration.
 */
class ReadyInTimeTest extends PlatformStage {
    /** How discovery is unavailable. */
    enum Outage {
        /** Connections are refused. */
        REFUSES,
        /** Connection attempts get no answer. */
        NEVER_COMES_UP,
        /** The call is accepted and never answered. */
        NEVER_ANSWERS,
        /** Discovery is overloaded and answers 503 after a while. */
        FAILS_LATE
    }

    /**
     * The requirement is 6 s at its strictest; a start waits for discovery far less than that, also
     * on a busy machine.
     */
    private static final long READY_NS = TimeUnit.SECONDS.toNanos(4);

    private static final long FAILS_AFTER_MS = 1_500;
    private static final int WORKERS = 60;

    private LateServer unopened;

    @AfterEach
    void closeUnopened() throws IOException {
        if (unopened != null) {
            unopened.close();
        }
    }

    private int discoveryPort(Outage outage) throws IOException {
        switch (outage) {
            case REFUSES -> {
                return deadPort();
            }
            case NEVER_ANSWERS -> {
                return server(NO_RESPONSE);
            }
            case FAILS_LATE -> {
                return server(
                        (peer, call) -> {
                            Thread.sleep(FAILS_AFTER_MS);
                            peer.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                        });
            }
            default -> {
                unopened = new LateServer();
                return unopened.port();
            }
        }
    }

    private int server(Work work) throws IOException {
        Peer.Server server = new Peer.Server(0, peer -> work.on(peer, peer.message()));
        servers.add(server);
        return server.port();
    }

    private String listOfManyWorkers() throws IOException {
        List<String> entries = new ArrayList<>();
        worker("w", SERVE);
        int sharedPort = servers.get(servers.size() - 1).port();
        for (int i = 0; i < WORKERS; i++) {
            entries.add(FleetConfig.entry("w" + i, i, sharedPort, "k"));
        }
        return list(7, true, entries.toArray(String[]::new));
    }

    private static FleetConfig fleet(String registryMode) {
        return new FleetConfig(100, 7, registryMode, "piggyback", 1_024, 15);
    }

    @ParameterizedTest
    @CsvSource({
        "REFUSES,on_request",
        "REFUSES,pushed",
        "NEVER_COMES_UP,on_request",
        "NEVER_COMES_UP,pushed",
        "NEVER_ANSWERS,on_request",
        "NEVER_ANSWERS,pushed",
        "FAILS_LATE,on_request",
        "FAILS_LATE,pushed"
    })
    void becomesReadyInTimeWhileDiscoveryIsUnavailable(Outage outage, String registryMode)
            throws Exception {
        Path config =
                fleet(registryMode)
                        .write(dir, port, discoveryPort(outage), listOfManyWorkers(), "");
        long before = System.nanoTime();
        program =
                new Program(config, Map.of(), DeployFile.jvmFlags(), "serve")
                        .awaitOutput("listens on");
        long took = System.nanoTime() - before;
        assertTrue(took < READY_NS, "ready after " + took / 1_000_000 + " ms");
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    200,
                    exchange(requestText("q" + i, i % 2 == 0 ? "read" : "submit", "2000m"))
                            .status());
        }
    }
}
