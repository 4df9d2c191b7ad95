package damsonslip.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for programs that a test starts later. A port that the system has given and got back may be
 * given to anybody else until the program listens there, and its start fails. So these lie below
 * the range from which the system gives ports, and each test process that runs beside others takes
 * them from a part of its own.
 */
final class Ports {
    private static final int FIRST = 10_240;

    /** Where the soak's ports begin. */
    private static final int END = 20_000;

    private static final Path SYSTEM_RANGE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    private static final int LINE = 64;

    /** What Linux gives from where it does not say otherwise. */
    private static final int USUAL_SYSTEM_FIRST = 32_768;

    /**
     * The test processes of one build, by {@code forkCount} of the pom, and some to spare for the
     * number 0.
     */
    private static final int PARTS = 4;

    /** This test process's number from 1 on; 0 where a test is run by itself. */
    static final int FORK = Integer.getInteger("damsonslip.fork", 0);

    private static final int PART_SIZE = (Math.min(END, systemFirst()) - FIRST) / PARTS;

    /** Builds that run side by side begin at different ports. */
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() % PART_SIZE));

    private Ports() {}

    /** A port where nobody listens, and that nobody else is given. */
    static int next() {
        for (int tries = 0; tries < PART_SIZE; tries++) {
            int port =
                    FIRST
                            + FORK % PARTS * PART_SIZE
                            + Math.floorMod(NEXT.getAndIncrement(), PART_SIZE);
            if (isFree(port)) {
                return port;
            }
        }
        throw new AssertionError("no port is free from " + FIRST);
    }

    /** The first port that the system gives by itself. */
    static int systemFirst() {
        try (InputStream range = Files.newInputStream(SYSTEM_RANGE)) {
            byte[] line = new byte[LINE]; // the system gives it to one read only
            return Integer.parseInt(
                    new String(line, 0, range.read(line), StandardCharsets.US_ASCII)
                            .split("\\s+", 0)[0]);
        } catch (IOException e) { // not Linux
            return USUAL_SYSTEM_FIRST;
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket free = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return free.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
