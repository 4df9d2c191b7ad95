package damsonslip.faktory;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.Program;
import damsonslip.testkit.RedisStandIn;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts the real program as a Faktory server before each test, with a Redis stand-in as its store.
 * After the test it stops both and closes the peers that the test has connected.
 */
abstract class FaktoryProgramFixture {
    static final String PASSWORD = "s3cret";
    static final String NO_PASSWORD = "";

    @TempDir Path dir;
    RedisStandIn redis;
    FaktoryServer server;

    private final String password;
    private final String[] replacements;

    /**
     * Defines the server's configuration.
     *
     * @param password the password that peers need; empty for none
     * @param replacements texts of the operator's file, each followed by its replacement
     */
    FaktoryProgramFixture(String password, String... replacements) {
        this.password = password;
        this.replacements = replacements;
    }

    /** A condition on the state of the server. */
    interface Condition {
        boolean holds() throws IOException;
    }

    @BeforeEach
    final void startServer() throws IOException {
        redis = new RedisStandIn();
        server = new FaktoryServer(dir, FaktoryServer.address(redis), password, replacements);
        server.closing(redis);
        server.start();
    }

    @AfterEach
    final void closeServer() throws Exception {
        server.close();
    }

    /** Connects a producer. */
    final FaktoryPeer producer() throws IOException {
        return server.peer("");
    }

    /** Connects a worker, or with an empty {@code wid} a producer. */
    final FaktoryPeer peer(String wid) throws IOException {
        return server.peer(wid);
    }

    /** Waits until a condition holds; fails if the server cannot be queried. */
    static void await(String what, Condition condition) {
        Program.await(
                what,
                () -> {
                    try {
                        return condition.holds();
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
    }
}
