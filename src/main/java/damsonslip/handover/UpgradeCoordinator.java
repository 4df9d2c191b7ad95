package damsonslip.handover;

import damsonslip.core.Driver;
import damsonslip.core.Loop;
import damsonslip.overrides.WorkerOverrides;
import damsonslip.peers.PeerProcesses;
import java.io.IOException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps this process consistent with the other processes of its scheduler: polls the shared directory for peers and for
 * worker overrides, and publishes changes of the overrides. All methods but the constructor run on the event loop.
 */
public final class UpgradeCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(UpgradeCoordinator.class);
    /** Polling interval: a fifth of the 0.5 s within which a disabled worker may still get requests from any process. */
    private static final long POLL_US = 100_000;

    private final SharedDirectory directory;
    private final Loop loop;
    private final Driver driver;
    private final Consumer<PeerProcesses> listener;
    private PeerProcesses peers = PeerProcesses.ALONE;
    private boolean closed;
    private boolean serving;
    private boolean marked;

    /**
     * Creates a coordinator that does nothing until {@link #begin}.
     *
     * @param listener called on the loop whenever the set of live peers has changed
     */
    public UpgradeCoordinator(SharedDirectory directory, Loop loop, Driver driver, Consumer<PeerProcesses> listener) {
        this.directory = directory;
        this.loop = loop;
        this.driver = driver;
        this.listener = listener;
    }

    /** Polls now, and periodically from then on until {@link #close}. */
    public void begin() {
        refresh();
        writeMark();
        if (!closed) {
            loop.in(POLL_US, this::begin);
        }
    }

    /** Announces that this process serves; again with each poll until the directory takes it. */
    public void markServing() {
        serving = true;
        writeMark();
    }

    private void writeMark() {
        if (!serving || marked || closed) {
            return;
        }
        try {
            directory.markServing();
            marked = true;
        } catch (IOException e) {
            LOG.warn("event=mark_not_written error=\"{}\"", e.getMessage());
        }
    }

    /** Polls now and returns the current peers; the last known ones once closed, or if the directory cannot be read. */
    public PeerProcesses refresh() {
        if (closed) {
            return peers;
        }
        try {
            applySharedOverrides();
            PeerProcesses now = directory.peers();
            if (!now.equals(peers)) {
                peers = now;
                LOG.info("processes of this scheduler: {}, this one is number {}{}", now.processes(), now.index(),
                    now.hasSuccessor() ? ", a successor serves" : "");
                listener.accept(now);
            }
        } catch (IOException e) {
            LOG.warn("the folder of marks and bans cannot be read: {}", e.getMessage());
        }
        return peers;
    }

    private void applySharedOverrides() throws IOException {
        String text = directory.readChangedOverrides();
        if (text != null) {
            try {
                driver.takeOver(text);
                LOG.info("took over the operators' bans");
            } catch (WorkerOverrides.MalformedException e) {
                LOG.warn("the kept bans cannot be used: {}", e.getMessage());
            }
        }
    }

    /**
     * Applies a change of the worker overrides on top of those of the other processes and publishes the result.
     *
     * @throws IOException if the directory cannot be read or written; the change may then hold in this process only
     */
    public void change(Runnable change) throws IOException {
        directory.withLock(() -> {
            applySharedOverrides();
            change.run();
            directory.writeOverrides(driver.bans());
        });
    }

    /** Ends polling and removes this process's lock file. */
    public void close() {
        closed = true;
        try {
            directory.close();
        } catch (IOException e) {
            LOG.warn("the mark stays behind: {}", e.getMessage());
        }
    }
}
