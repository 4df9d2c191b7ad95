package damsonslip.admin.upgrade;

import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.membership.overrides.WorkerOverrides;
import damsonslip.membership.peers.PeerProcesses;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps this process consistent with the other processes of its scheduler: polls the shared
 * directory for peers and for worker overrides, and publishes changes of the overrides.
 *
 * <p>Methods are called on the event loop. But for the first poll and the first mark, which come
 * before anybody is served, the directory is read and written on a thread of its own, since a disk
 * may take seconds; what comes of it is told on the loop.
 */
public final class UpgradeCoordinator {
    private static final Logger LOG = LoggerFactory.getLogger(UpgradeCoordinator.class);

    /**
     * Polling interval: a fifth of the 0.5 s within which a disabled worker may still get requests
     * from any process.
     */
    private static final long POLL_US = 100_000;

    /** The loop takes a change in at once; one that does not in this time has been stopped. */
    private static final long LOOP_TIMEOUT_MS = 5_000;

    private final SharedDirectory directory;
    private final EventLoop loop;
    private final SchedulerEngine driver;
    private final Consumer<PeerProcesses> listener;
    private final ThreadPoolExecutor disk = diskThread();
    private PeerProcesses peers = PeerProcesses.ALONE;
    private boolean closed;
    private boolean serving;
    private boolean marked;

    /**
     * What a poll of the directory found; the overrides are null unless another process has changed
     * them.
     */
    private record Found(String overrides, PeerProcesses peers) {}

    /** An access to the directory. */
    private interface Access<T> {
        T run() throws IOException;
    }

    /**
     * Creates a coordinator that does nothing until {@link #begin}.
     *
     * @param listener called on the loop whenever the set of live peers has changed
     */
    public UpgradeCoordinator(
            SharedDirectory directory,
            EventLoop loop,
            SchedulerEngine driver,
            Consumer<PeerProcesses> listener) {
        this.directory = directory;
        this.loop = loop;
        this.driver = driver;
        this.listener = listener;
    }

    /**
     * One thread, there from the start: one that cannot be started later would cost the access that
     * asked for it.
     */
    private static ThreadPoolExecutor diskThread() {
        ThreadPoolExecutor thread =
                new ThreadPoolExecutor(
                        1,
                        1,
                        0,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(),
                        task -> {
                            Thread made = new Thread(task, "shared-directory");
                            made.setDaemon(true);
                            return made;
                        });
        thread.prestartAllCoreThreads();
        return thread;
    }

    /** Polls now, waiting for the directory, and periodically from then on until {@link #close}. */
    public void begin() {
        try {
            take(poll());
        } catch (IOException e) {
            pollFailed(e);
        }
        loop.in(POLL_US, this::pollOnDisk);
    }

    private void pollOnDisk() {
        writeMark();
        onDisk(
                this::poll,
                found -> {
                    take(found);
                    loop.in(POLL_US, this::pollOnDisk);
                },
                error -> {
                    pollFailed(error);
                    loop.in(POLL_US, this::pollOnDisk);
                });
    }

    private static void pollFailed(IOException error) {
        LOG.warn("the folder of marks and bans cannot be read: {}", error.getMessage());
    }

    /**
     * Accesses the directory on its thread, and tells on the loop what came of it; nothing once
     * closed.
     */
    private <T> void onDisk(Access<T> access, Consumer<T> done, Consumer<IOException> failed) {
        if (closed) {
            return;
        }
        disk.execute(
                () -> {
                    try {
                        T result = access.run();
                        loop.execute(() -> done.accept(result));
                    } catch (IOException e) {
                        loop.execute(() -> failed.accept(e));
                    }
                });
    }

    /**
     * Announces that this process serves, waiting for the directory; again with each poll until
     * that takes it.
     */
    public void markServing() {
        serving = true;
        marked = true;
        try {
            directory.markServing();
        } catch (IOException e) {
            markFailed(e);
        }
    }

    private void writeMark() {
        if (serving && !marked) {
            marked = true;
            onDisk(
                    () -> {
                        directory.markServing();
                        return null;
                    },
                    written -> {},
                    this::markFailed);
        }
    }

    private void markFailed(IOException error) {
        marked = false;
        LOG.warn("event=mark_not_written error=\"{}\"", error.getMessage());
    }

    /** Polls once more and goes on with that, or without it if the disk takes its time. */
    public void refresh(Runnable next) {
        AtomicBoolean gone = new AtomicBoolean();
        Runnable once =
                () -> {
                    if (gone.compareAndSet(false, true)) {
                        next.run();
                    }
                };
        loop.in(POLL_US, once);
        onDisk(
                this::poll,
                found -> {
                    take(found);
                    once.run();
                },
                error -> {
                    pollFailed(error);
                    once.run();
                });
    }

    private Found poll() throws IOException {
        return new Found(directory.readChangedOverrides(), directory.peers());
    }

    private void take(Found found) {
        apply(found.overrides());
        if (!found.peers().equals(peers)) {
            peers = found.peers();
            LOG.info(
                    "processes of this scheduler: {}, this one is number {}{}",
                    peers.processes(),
                    peers.index(),
                    peers.hasSuccessor() ? ", a successor serves" : "");
            listener.accept(peers);
        }
    }

    /** Applies another process's overrides; null changes nothing. */
    private void apply(String overrides) {
        if (overrides != null) {
            try {
                driver.takeOver(overrides);
                LOG.info("took over the operators' bans");
            } catch (WorkerOverrides.MalformedException e) {
                LOG.warn("the kept bans cannot be used: {}", e.getMessage());
            }
        }
    }

    /** The processes of this scheduler, as the last poll found them. */
    public PeerProcesses peers() {
        return peers;
    }

    /**
     * Applies a change of the worker overrides on top of those of the other processes and publishes
     * the result.
     *
     * @param kept told once the change is durable
     * @param failed told if the directory cannot be read or written; the change may then hold in
     *     this process only
     */
    public void change(Runnable change, Runnable kept, Consumer<IOException> failed) {
        onDisk(
                () -> {
                    directory.withLock(
                            () -> {
                                String others = directory.readChangedOverrides();
                                directory.writeOverrides(
                                        onLoop(
                                                () -> {
                                                    apply(others);
                                                    change.run();
                                                    return driver.bans();
                                                }));
                            });
                    return null;
                },
                written -> kept.run(),
                failed);
    }

    /**
     * Runs a task on the loop and waits for it; called on the directory's thread, for which the
     * loop never waits.
     */
    private <T> T onLoop(Supplier<T> task) throws IOException {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(
                () -> {
                    try {
                        result.complete(task.get());
                    } catch (RuntimeException e) {
                        result.completeExceptionally(e);
                    }
                });
        try {
            return result.get(LOOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            throw new IOException("the change could not be made", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * Ends polling and removes this process's lock file.
     *
     * @param done told on the directory's thread, once it has done so
     */
    public void close(Runnable done) {
        closed = true;
        disk.execute(
                () -> {
                    try {
                        directory.close();
                    } catch (IOException e) {
                        LOG.warn("the mark stays behind: {}", e.getMessage());
                    }
                    done.run();
                });
    }
}
