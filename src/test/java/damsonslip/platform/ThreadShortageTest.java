package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import damsonslip.tools.lab.soak.Errno;
import damsonslip.tools.lab.soak.SystemCall;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;

/** The real program while the system cannot start threads (pthread_create(3)). */
class ThreadShortageTest extends FaultStage {
    private static final int EXIT_BY_SIGTERM = 143;

    private void startShortOfThreads() throws Exception {
        startWithFaults(worker("a", SERVE));
        faults.fail(SystemCall.THREAD_CREATE, Errno.EAGAIN, 1);
    }

    @Test
    void answersAllWhenNoThreadCanBeStarted() throws Exception {
        startShortOfThreads();
        assertAllAnswered(outcomesOfNewConnections(CLIENTS));
    }

    @Test
    void movesWatchOnSighupWhenNoThreadCanBeStarted() throws Exception {
        List<String> newWatches = new CopyOnWriteArrayList<>();
        Peer.Server newDiscovery = discovery(new CopyOnWriteArrayList<>(), newWatches);
        startShortOfThreads();
        String oldAddress = "127.0.0.1:" + discovery.port();
        program.reload(
                Files.readString(configuration)
                        .replace(oldAddress, "127.0.0.1:" + newDiscovery.port()));
        Program.await(
                "it watches discovery at the new address", () -> !newWatches.isEmpty(), program);
    }

    /**
     * The JVM starts a thread for each signal and drops the signal if it cannot. Guards against a
     * process that then ignores SIGTERM.
     */
    @Test
    void exitsOnSigtermWhenNoThreadCanBeStarted() throws Exception {
        startShortOfThreads();
        program.terminate();
        assertEquals(EXIT_BY_SIGTERM, program.exit());
    }
}
