package damsonslip.tools.conformance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import damsonslip.testkit.RedisStandIn;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs the suite against this program on each store, and against a server that answers every
 * command with OK.
 */
class ConformanceTest {
    @TempDir Path dir;

    private static String run(int port, int code, String... more)
            throws IOException, InterruptedException {
        String[] arguments = new String[more.length + 2];
        arguments[0] = "conformance";
        arguments[1] = "127.0.0.1:" + port;
        System.arraycopy(more, 0, arguments, 2, more.length);
        try (Program suite = new Program(null, arguments)) {
            assertEquals(code, suite.exit(90), suite.output());
            return suite.output();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"memory", "redis"})
    void everyCasePasses(String store) throws Exception {
        int port = Program.freePort();
        try (RedisStandIn redis = new RedisStandIn()) {
            String address = store.equals("memory") ? store : FaktoryServer.address(redis);
            String file =
                    FaktoryServer.settings(
                            port,
                            address,
                            "127.0.0.1:7420",
                            "",
                            "password = \"\"  ",
                            "password = \"open sesame\"  ");
            try (Program program =
                    new Program(null, "serve", Program.file(dir, file).toString())
                            .awaitOutput("taken up from the store")) {
                String output = run(port, 0, "--password", "open sesame", "--flush");
                assertFalse(output.contains("FAULT"), output);
                assertTrue(output.matches("(?s).*all +6[0-9] +0\\s*"), output);
                assertFalse(program.output().contains("ERROR"), program.output());
            }
        }
    }

    /** Guards against cases that cannot fail: this server answers OK to every command. */
    @Test
    void reportsAServerThatAlwaysAnswersOk() throws Exception {
        try (Peer.Server yes =
                new Peer.Server(
                        0,
                        peer -> {
                            peer.send("+HI {\"v\":2}\r\n");
                            while (peer.line() != null) {
                                peer.send("+OK\r\n");
                            }
                        })) {
            String output = run(yes.port(), 1);
            assertTrue(output.contains("FAULT  handshake: HELLO comes first"), output);
            assertTrue(
                    output.contains("FAULT  push: a plain job comes to a worker as it was"),
                    output);
            long passed = output.lines().filter(line -> line.startsWith("ok ")).count();
            assertTrue(
                    passed < 10, passed + " cases pass on a server that does nothing: " + output);
        }
    }
}
