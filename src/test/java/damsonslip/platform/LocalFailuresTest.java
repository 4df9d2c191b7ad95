package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import damsonslip.tools.lab.soak.Errno;
import damsonslip.tools.lab.soak.SystemCall;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** The real program while its own machine is out of descriptors or sockets. */
class LocalFailuresTest extends FaultStage {
    /**
     * A change takes effect 6 s after discovery had it and could be reached (STANDING); the drain
     * grace and slack are added.
     */
    private static final long CHANGE_AND_GRACE_MS = 7_000;

    private static final long UNWATCHED_MS = 4_000;

    /**
     * The list of a moved discovery takes effect 4 s after SIGHUP; the drain grace and slack are
     * added.
     */
    private static final long MOVED_AND_GRACE_MS = 4_600;

    /**
     * Guards against a reload that is lost because the file could not be opened at that moment:
     * SIGHUP is not sent again.
     */
    @Test
    void followsMovedDiscoveryOnceConfigurationCanBeRead() throws Exception {
        List<String> newWatches = new CopyOnWriteArrayList<>();
        Peer.Server moved = discovery(new CopyOnWriteArrayList<>(), newWatches);
        startWithFaults(worker("a", SERVE));
        faults.fail(SystemCall.FILE_READ_OPEN, Errno.EMFILE, 1);
        String text =
                Files.readString(configuration)
                        .replace("127.0.0.1:" + discovery.port(), "127.0.0.1:" + moved.port());
        program.reload(text);
        Thread.sleep(500);
        faults.restore(SystemCall.FILE_READ_OPEN);
        Program.await("discovery is watched at its new address", () -> !newWatches.isEmpty());
    }

    /**
     * A failure to open a socket locally says nothing about discovery, which may have announced a
     * drain meanwhile.
     */
    @Test
    void rejectsQueriesOnOldListWhileLocalSocketsFail() throws Exception {
        startWithFaults(worker("a", SERVE));
        assertEquals(200, exchange(requestText("q1", "read", "4000m")).status());
        faults.fail(SystemCall.SOCKET, Errno.ENFILE, 1);
        discovery.endConnections(); // the watch ends, and a new one cannot be opened, though
        // discovery works
        sendQueriesFor(System.nanoTime(), CHANGE_AND_GRACE_MS);
        assertQueriesAreRejected();
    }

    /**
     * The same holds for a connection that opens, but signals no events because the system does not
     * watch it.
     */
    @Test
    void rejectsQueriesOnOldListWhenNewConnectionsAreNotWatched() throws Exception {
        AtomicBoolean busy = new AtomicBoolean();
        discovery = discoveryFailingWhile(busy::get);
        startWithFaults(worker("a", SERVE));
        assertEquals(200, exchange(requestText("q1", "read", "4000m")).status());
        busy.set(true);
        faults.fail(SystemCall.EPOLL_CTL, Errno.ENOMEM, 1);
        long lostNs = System.nanoTime();
        discovery.endConnections();
        Thread.sleep(UNWATCHED_MS);
        faults.restore(SystemCall.EPOLL_CTL);
        Thread.sleep(CHANGE_AND_GRACE_MS - (System.nanoTime() - lostNs) / 1_000_000);
        assertQueriesAreRejected();
    }

    /**
     * The list of the new discovery takes effect a fixed time after the signal, however late the
     * file that names it could be read.
     */
    @Test
    void timesDiscoveryMoveFromSignalWhenConfigurationIsReadLate() throws Exception {
        Peer.Server busy = new Peer.Server(0, PlatformStage::failBusy);
        servers.add(busy);
        startWithFaults(worker("a", SERVE));
        String text =
                Files.readString(configuration)
                        .replace("127.0.0.1:" + discovery.port(), "127.0.0.1:" + busy.port());
        faults.fail(SystemCall.FILE_READ_OPEN, Errno.EIO, 1);
        long signalNs = System.nanoTime();
        program.reload(text);
        sendQueriesFor(signalNs, 2_500);
        faults.restore(SystemCall.FILE_READ_OPEN);
        program.awaitOutput("reload: discovery is at 127.0.0.1:" + busy.port());
        sendQueriesFor(signalNs, MOVED_AND_GRACE_MS);
        assertQueriesAreRejected();
    }

    /**
     * While the file cannot be read, discovery may have moved; once it can be read and discovery
     * has not moved, service resumes.
     */
    @Test
    void rejectsQueriesWhileConfigurationCannotBeReadAfterReload() throws Exception {
        startWithFaults(worker("a", SERVE));
        faults.fail(SystemCall.FILE_READ_OPEN, Errno.EIO, 1);
        long signalNs = System.nanoTime();
        program.signal("HUP");
        sendQueriesFor(signalNs, MOVED_AND_GRACE_MS);
        assertQueriesAreRejected();
        faults.restore(SystemCall.FILE_READ_OPEN);
        Program.await("service resumes", this::isServed);
    }

    private boolean isServed() {
        try {
            return exchange(requestText("again" + System.nanoTime(), "read", "1000m")).status()
                    == 200;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Sends queries at intervals, which keeps the connection to the worker open, and asserts that
     * the worker was used.
     */
    private void sendQueriesFor(long fromNs, long ms) throws IOException, InterruptedException {
        int before = jobs("a");
        while (System.nanoTime() - fromNs < ms * 1_000_000) {
            exchange(requestText("k" + System.nanoTime(), "read", "1000m"));
            Thread.sleep(200);
        }
        assertTrue(jobs("a") > before, "the worker was used until then");
    }

    private void assertQueriesAreRejected() throws IOException {
        assertEquals(503, exchange(requestText("late", "read", "1000m")).status());
        assertFalse(ids("a").contains("late"));
    }
}
