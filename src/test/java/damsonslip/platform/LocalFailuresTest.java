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

/** The real program where its own machine has no descriptors or sockets left for a while. */
class LocalFailuresTest extends FaultStage {
    /**
     * A change counts as told 6 s after discovery had it and could be reached (STANDING); the grace
     * and slack on top.
     */
    private static final long TOLD_AND_GRACE_MS = 7_000;

    private static final long UNWATCHED_MS = 4_000;

    /** What a moved discovery has to tell counts 4 s after SIGHUP; the grace and slack on top. */
    private static final long MOVED_AND_GRACE_MS = 4_600;

    /** SIGHUP is not sent again because the file could not be opened in that moment. */
    @Test
    void followsDiscoveryThoughTheConfigurationCannotBeReadAtOnce() throws Exception {
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
        Program.await("it watches discovery where that is now", () -> !newWatches.isEmpty());
    }

    /**
     * That no socket can be had here says nothing of discovery, which may have told of a drain
     * meanwhile.
     */
    @Test
    void sendsNothingOnAnOldListWhereItsOwnSocketsFail() throws Exception {
        startWithFaults(worker("a", SERVE));
        assertEquals(200, exchange(requestText("q1", "read", "4000m")).status());
        faults.fail(SystemCall.SOCKET, Errno.ENFILE, 1);
        discovery.endConnections(); // the watch ends, and a new one cannot be opened here, though
        // discovery is well
        askFor(System.nanoTime(), TOLD_AND_GRACE_MS);
        assertNothingIsSent();
    }

    /**
     * A dial that comes up, and of which nothing is heard because the system does not watch it,
     * says the same.
     */
    @Test
    void sendsNothingOnAnOldListWhereItsDialsAreNotWatched() throws Exception {
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
        Thread.sleep(TOLD_AND_GRACE_MS - (System.nanoTime() - lostNs) / 1_000_000);
        assertNothingIsSent();
    }

    /**
     * What the new discovery has to tell counts from the signal, however late the file that names
     * it could be read.
     */
    @Test
    void countsAMoveFromTheSignalThoughTheConfigurationIsReadLate() throws Exception {
        Peer.Server busy = new Peer.Server(0, PlatformStage::failBusy);
        servers.add(busy);
        startWithFaults(worker("a", SERVE));
        String text =
                Files.readString(configuration)
                        .replace("127.0.0.1:" + discovery.port(), "127.0.0.1:" + busy.port());
        faults.fail(SystemCall.FILE_READ_OPEN, Errno.EIO, 1);
        long signalNs = System.nanoTime();
        program.reload(text);
        askFor(signalNs, 2_500);
        faults.restore(SystemCall.FILE_READ_OPEN);
        program.awaitOutput("reload: discovery is at 127.0.0.1:" + busy.port());
        askFor(signalNs, MOVED_AND_GRACE_MS);
        assertNothingIsSent();
    }

    /**
     * Where the file cannot be read at all, discovery may have moved; once it can, and has not,
     * service goes on.
     */
    @Test
    void sendsNothingWhileItCannotReadWhereDiscoveryIs() throws Exception {
        startWithFaults(worker("a", SERVE));
        faults.fail(SystemCall.FILE_READ_OPEN, Errno.EIO, 1);
        long signalNs = System.nanoTime();
        program.signal("HUP");
        askFor(signalNs, MOVED_AND_GRACE_MS);
        assertNothingIsSent();
        faults.restore(SystemCall.FILE_READ_OPEN);
        Program.await("it serves again", this::isServed);
    }

    private boolean isServed() {
        try {
            return exchange(requestText("again" + System.nanoTime(), "read", "1000m")).status()
                    == 200;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Asks now and then, so that its connection to the worker is kept; it was used until then. */
    private void askFor(long fromNs, long ms) throws IOException, InterruptedException {
        int before = jobs("a");
        while (System.nanoTime() - fromNs < ms * 1_000_000) {
            exchange(requestText("k" + System.nanoTime(), "read", "1000m"));
            Thread.sleep(200);
        }
        assertTrue(jobs("a") > before, "its worker was used until then");
    }

    private void assertNothingIsSent() throws IOException {
        assertEquals(503, exchange(requestText("late", "read", "1000m")).status());
        assertFalse(ids("a").contains("late"));
    }
}
