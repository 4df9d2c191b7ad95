package damsonslip.testkit;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What the tests rest on: ports that nobody else is given, and a start that fails and is told of as
 * it was.
 */
class ProgramTest {
    private static final int MANY = 200;

    @TempDir Path dir;

    /** Else another test's connection may take it before the program listens there. */
    @Test
    void portsAreNoneThatTheSystemGivesByItself() {
        Set<Integer> given = new HashSet<>();
        for (int i = 0; i < MANY; i++) {
            int port = Program.freePort();
            assertTrue(port < Ports.systemFirst(), port + " may be given to anybody");
            assertTrue(given.add(port), port + " was given twice");
        }
    }

    /** Else those that run side by side would take the same ports. */
    @Test
    void eachTestProcessKnowsItsNumber() {
        assertTrue(
                Ports.FORK > 0 || System.getProperty("surefire.test.class.path") == null,
                "fork " + Ports.FORK);
    }

    /** It used to be told as a start that said nothing for ten seconds. */
    @Test
    void startThatEndsAtOnceTellsItsLastWordsAtOnce() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path config = Program.file(dir, FaktoryServer.settings(taken.getLocalPort(), "memory"));
            long from = System.nanoTime();
            try (Program program = new Program(null, "serve", config.toString())) {
                AssertionError failed =
                        assertThrows(AssertionError.class, () -> program.awaitOutput("listens on"));
                assertTrue(
                        failed.getMessage().contains("Address already in use"),
                        failed.getMessage());
                assertTrue(System.nanoTime() - from < 8_000_000_000L, "it need not be waited for");
            }
        }
    }
}
