package damsonslip.admin.upgrade;

import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.membership.overrides.WorkerOverrides;
import damsonslip.membership.peers.PeerProcesses;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps this process consistent with the other processes of its scheduler: polls the shared
 * directory for peers and for worker overrides, publishes changes of the overrides, and provides
 * the memory in which all of them keep the ids of their requests.
 *
 * <p>Methods are called on the event loop, and callbacks run on it unless they say otherwise. The
 * directory is accessed on the {@link DirectoryThread}, except for the first poll and the first
 * announcement, which happen before any client is served.
 */
public final class UpgradeCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(UpgradeCoordinator.class);

    /**
     * A fifth of the 0.5 s during which any process may still send requests to a worker that an
     * operator has disabled.
     */
    private static final long POLL_INTERVAL_US = 100_000;

    /** Whether this process has announced to the others that it serves. */
    private enum Announcement {
        /** This process does not serve yet. */
        NOT_NEEDED,
        /** It serves, but writing the lock file failed; the next poll tries again. */
        FAILED,
        /** It serves, and the lock file has been written or is being written. */
        MADE
    }

    private final SharedDirectory directory;
    private final DirectoryThread directoryThread;
    private final EventLoop loop;
    private final SchedulerEngine engine;
    private final Consumer<PeerProcesses> peersListener;
    private final SharedMemoryUser requestIds;
    private boolean areRequestIdsShared;
    private boolean isSharingFailureLogged;
    private PeerProcesses peers = PeerProcesses.ALONE;
    private Announcement announcement = Announcement.NOT_NEEDED;

    /** Uses memory that all processes share. */
    public interface SharedMemoryUser {
        /** The size of the memory in bytes. */
        int bytes();

        /** Called once with the memory; its bytes are 0 unless another process has used it. */
        void share(ByteBuffer memory);
    }

    /**
     * What a poll of the directory found.
     *
     * @param overrides empty unless another process has changed them
     */
    private record PollResult(Optional<String> overrides, PeerProcesses peers) {}

    /**
     * Creates a coordinator that does nothing until {@link #start}.
     *
     * @param peersListener called on the loop whenever the set of live peers has changed
     * @param requestIds gets the memory for the ids of requests, on the loop
     */
    public UpgradeCoordinator(
            SharedDirectory directory,
            EventLoop loop,
            SchedulerEngine engine,
            Consumer<PeerProcesses> peersListener,
            SharedMemoryUser requestIds) {
        this.directory = directory;
        this.directoryThread = new DirectoryThread(loop);
        this.loop = loop;
        this.engine = engine;
        this.peersListener = peersListener;
        this.requestIds = requestIds;
    }

    /** Polls at once, blocking on the directory, and then periodically until {@link #close}. */
    public void start() {
        try {
            shareRequestIds(directory.mapRequestIds(requestIds.bytes()));
        } catch (IOException e) {
            sharingFailed(e);
        }
        try {
            apply(poll());
        } catch (IOException e) {
            logPollFailure(e);
        }
        scheduleNextPoll();
    }

    private void scheduleNextPoll() {
        loop.scheduleAfter(POLL_INTERVAL_US, this::pollPeriodically);
    }

    private void shareRequestIds(ByteBuffer memory) {
        areRequestIdsShared = true;
        requestIds.share(memory);
    }

    private void sharingFailed(IOException error) {
        if (!isSharingFailureLogged) {
            isSharingFailureLogged = true;
            LOG.warn("event=request_ids_not_shared error=\"{}\"", error.getMessage());
        }
    }

    private void retrySharingRequestIds() {
        if (!areRequestIdsShared) {
            directoryThread.run(
                    () -> directory.mapRequestIds(requestIds.bytes()),
                    this::shareRequestIds,
                    this::sharingFailed);
        }
    }

    private void pollPeriodically() {
        retryFailedAnnouncement();
        retrySharingRequestIds();
        pollThen(this::scheduleNextPoll);
    }

    /**
     * Polls once more and then runs this action, which does not wait for the poll any longer than
     * one polling interval.
     */
    public void refresh(Runnable next) {
        AtomicBoolean hasRun = new AtomicBoolean();
        Runnable runOnce =
                () -> {
                    if (hasRun.compareAndSet(false, true)) {
                        next.run();
                    }
                };
        loop.scheduleAfter(POLL_INTERVAL_US, runOnce);
        pollThen(runOnce);
    }

    private void pollThen(Runnable next) {
        directoryThread.run(
                this::poll,
                result -> {
                    apply(result);
                    next.run();
                },
                error -> {
                    logPollFailure(error);
                    next.run();
                });
    }

    private PollResult poll() throws IOException {
        return new PollResult(directory.readChangedOverrides(), directory.peers());
    }

    private static void logPollFailure(IOException error) {
        LOG.warn("the folder of marks and bans cannot be read: {}", error.getMessage());
    }

    private void apply(PollResult result) {
        result.overrides().ifPresent(this::applyOverrides);
        if (!result.peers().equals(peers)) {
            peers = result.peers();
            LOG.info(
                    "processes of this scheduler: {}, this one is number {}{}",
                    peers.processes(),
                    peers.index(),
                    peers.hasSuccessor() ? ", a successor serves" : "");
            peersListener.accept(peers);
        }
    }

    /** Replaces the overrides of this process with those that another has written. */
    private void applyOverrides(String text) {
        try {
            engine.restoreOverrides(text);
            LOG.info("took over the operators' bans");
        } catch (WorkerOverrides.MalformedException e) {
            LOG.warn("the kept bans cannot be used: {}", e.getMessage());
        }
    }

    /**
     * Announces that this process serves, blocking on the directory. If that fails, each poll
     * retries it until it succeeds.
     */
    public void announceServing() {
        announcement = Announcement.MADE;
        try {
            directory.announceServing();
        } catch (IOException e) {
            announcementFailed(e);
        }
    }

    private void retryFailedAnnouncement() {
        if (announcement == Announcement.FAILED) {
            announcement = Announcement.MADE;
            directoryThread.run(
                    () -> {
                        directory.announceServing();
                        return null;
                    },
                    done -> {},
                    this::announcementFailed);
        }
    }

    private void announcementFailed(IOException error) {
        announcement = Announcement.FAILED;
        LOG.warn("event=mark_not_written error=\"{}\"", error.getMessage());
    }

    /** Returns the processes of this scheduler, as the last poll found them. */
    public PeerProcesses peers() {
        return peers;
    }

    /**
     * Applies a change of the worker overrides on top of those of the other processes and publishes
     * the result.
     *
     * @param change applies it to the engine; runs on the loop
     * @param published runs once the change is durable
     * @param failed runs if the directory cannot be read or written; the change may then be in
     *     effect in this process only
     */
    public void changeOverrides(Runnable change, Runnable published, Consumer<IOException> failed) {
        directoryThread.run(
                () -> {
                    directory.withLock(() -> publish(change));
                    return null;
                },
                done -> published.run(),
                failed);
    }

    /** Reads the overrides of other processes, applies the change on top, and writes the result. */
    private void publish(Runnable change) throws IOException {
        Optional<String> changedElsewhere = directory.readChangedOverrides();
        String merged =
                directoryThread.onLoop(
                        () -> {
                            changedElsewhere.ifPresent(this::applyOverrides);
                            change.run();
                            return engine.overridesText();
                        });
        directory.writeOverrides(merged);
    }

    /**
     * Ends polling and removes this process's lock file.
     *
     * @param done runs on the directory's thread, whether or not the file could be removed
     */
    public void close(Runnable done) {
        directoryThread.close(
                () -> {
                    try {
                        directory.close();
                    } catch (IOException e) {
                        LOG.warn("event=lock_file_not_removed error=\"{}\"", e.getMessage());
                    }
                    done.run();
                });
    }
}
