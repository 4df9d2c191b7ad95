package damsonslip.platform;

import damsonslip.admin.upgrade.SharedDirectory;
import damsonslip.admin.upgrade.UpgradeCoordinator;
import damsonslip.config.ConfigurationException;
import damsonslip.config.SchedulerConfig;
import damsonslip.engine.EventLoop;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.engine.SchedulerEngine;
import damsonslip.membership.peers.PeerProcesses;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Coordination with the other processes of this scheduler, through a shared directory, if the
 * configuration allows several processes. Used on the event loop only, except where noted.
 */
final class ProcessCoordination {
    private static final Logger LOG = LoggerFactory.getLogger(ProcessCoordination.class);

    private static final long RETRY_INTERVAL_US = 1_000_000;

    /** How long an exit waits for its lock file to be removed. */
    private static final long CLOSE_TIMEOUT_MS = 100;

    private final EventLoop loop;
    private final LifecyclePhase phase;
    private final SchedulerEngine engine;
    private final Path directory;
    private final Consumer<PeerProcesses> onPeersChanged;
    private final UpgradeCoordinator.SharedMemoryUser requestIds;
    private boolean openAttempted;

    /** Null if there is no shared directory, or it has not been usable so far. */
    private UpgradeCoordinator coordinator;

    /**
     * @param directory null if this is the only process of the scheduler
     * @param onPeersChanged receives the processes of this scheduler when they change
     * @param requestIds gets the memory in which all processes keep the ids of their requests
     */
    ProcessCoordination(
            EventLoop loop,
            LifecyclePhase phase,
            SchedulerEngine engine,
            Path directory,
            Consumer<PeerProcesses> onPeersChanged,
            UpgradeCoordinator.SharedMemoryUser requestIds) {
        this.loop = loop;
        this.phase = phase;
        this.engine = engine;
        this.directory = directory;
        this.onPeersChanged = onPeersChanged;
        this.requestIds = requestIds;
    }

    /**
     * The directory that the processes of one scheduler share; null if there cannot be another
     * process.
     *
     * @throws ConfigurationException if the configured directory cannot be used
     */
    static Path configuredDirectory(SchedulerConfig config, Map<String, String> environment)
            throws ConfigurationException {
        String path = environment.getOrDefault("TMPDIR", "");
        if (config.mgmt().isBlank() || path.isBlank()) {
            return null;
        }
        try {
            Path directory = Path.of(path);
            if (Files.isDirectory(directory)) {
                return directory;
            }
        } catch (InvalidPathException e) {
            throw new ConfigurationException("config: TMPDIR: cannot be used: " + e.getMessage());
        }
        throw new ConfigurationException("config: TMPDIR: not a folder: " + path);
    }

    /** Whether the scheduler may have several processes. */
    boolean isShared() {
        return directory != null;
    }

    /** Whether reading the overrides in the directory was attempted, or there is no directory. */
    boolean areOverridesLoaded() {
        return !isShared() || openAttempted;
    }

    /**
     * Reads the directory and joins the other processes. A full or failing disk does not prevent
     * this process from serving: it serves without the others and retries.
     */
    void open() {
        if (!isShared() || phase.hasReached(State.FINISHING)) {
            return;
        }
        openAttempted = true;
        try {
            coordinator =
                    new UpgradeCoordinator(
                            new SharedDirectory(directory),
                            loop,
                            engine,
                            onPeersChanged,
                            requestIds);
        } catch (IOException e) {
            LOG.warn("event=folder_unusable folder={} error=\"{}\"", directory, e.getMessage());
            loop.scheduleAfter(RETRY_INTERVAL_US, this::open);
            return;
        }
        coordinator.start();
        if (phase.hasReached(State.SERVING)) {
            coordinator.announceServing();
        }
    }

    /** Announces to the other processes that this one is serving. */
    void announceServing() {
        if (coordinator != null) {
            coordinator.announceServing();
        }
    }

    /** Whether another process of this scheduler is running. */
    boolean hasPeers() {
        return coordinator != null && coordinator.peers().processes() > 1;
    }

    /** Whether a newer process is serving. */
    boolean hasSuccessor() {
        return coordinator != null && coordinator.peers().hasSuccessor();
    }

    /** Runs an action after refreshing the state of the other processes. */
    void refresh(Runnable action) {
        if (coordinator == null) {
            action.run();
        } else {
            coordinator.refresh(action);
        }
    }

    /**
     * Changes the operators' overrides in all processes of this scheduler.
     *
     * @param change makes the change in this process
     * @param onStored runs once the change is stored
     * @param onFailure receives the reason if the change cannot be stored
     */
    void changeOverrides(Runnable change, Runnable onStored, Consumer<IOException> onFailure) {
        if (coordinator != null) {
            coordinator.changeOverrides(change, onStored, onFailure);
            return;
        }
        change.run();
        if (isShared()) {
            onFailure.accept(new IOException("the folder cannot be used"));
        } else {
            onStored.run();
        }
    }

    /** Removes this process from the directory; called on the thread that ends the program. */
    void close() {
        if (coordinator == null) {
            return;
        }
        CountDownLatch closed = new CountDownLatch(1);
        loop.execute(() -> coordinator.close(closed::countDown));
        try {
            // A lock file that is left behind is harmless: no process holds its lock.
            closed.await(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
