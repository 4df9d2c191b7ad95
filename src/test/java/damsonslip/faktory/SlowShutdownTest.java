package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.Peer;
import damsonslip.tools.lab.soak.FaultControl;
import damsonslip.tools.lab.soak.FaultLibrary;
import damsonslip.tools.lab.soak.SystemCall;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a shutdown that ends the process between the end of the last awaited job and the
 * reply to its worker's report. The process is slow at both ends of that moment: the check whether
 * it may end is due once the report has been read, and the reply is written late.
 */
class SlowShutdownTest {
    private static final String JOB = "job-00001";
    private static final int SIGTERM_EXIT = 143;

    /** Longer than the interval of the check. */
    private static final int SLOW_READ_MS = 40;

    private static final int SLOW_WRITE_MS = 1_000;

    /** Longer than the server accepts connections. */
    private static final long SHUTDOWN_MS = 500;

    @TempDir Path dir;

    @Test
    void repliesToReportOfLastAwaitedJob() throws Exception {
        Optional<Path> library =
                FaultLibrary.build(FaultLibrary.SOURCE, Path.of("target", "faults"));
        assumeTrue(library.isPresent(), "this machine has no C compiler");
        FaultControl faults = new FaultControl(library.get(), dir);
        try (FaktoryServer server = new FaktoryServer(dir, "memory", "")) {
            server.start(faults.environment());
            FaktoryPeer worker = server.peer("w1");
            server.peer("").push(JOB, "apply-submit", 5, "");
            assertEquals(JOB, worker.fetch());
            server.program().terminate();
            Thread.sleep(SHUTDOWN_MS);
            faults.hold(SystemCall.SOCKET_READ, SLOW_READ_MS);
            faults.hold(SystemCall.SOCKET_WRITE, SLOW_WRITE_MS);
            Peer connection = worker.peer().send("ACK {\"jid\":\"" + JOB + "\"}\r\n");
            assertEquals("+OK", connection.line());
            connection.close();
            assertEquals(SIGTERM_EXIT, server.program().exit());
        }
    }
}
