package damsonslip.admin.upgrade;

import damsonslip.engine.EventLoop;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Accesses the shared directory on a thread of its own, since disk I/O may block for seconds, and
 * returns the results to the event loop. The loop never waits for this thread, so this thread may
 * wait for the loop without a deadlock.
 */
final class DirectoryThread {
    /** The loop runs tasks without delay; one that has not by then has been stopped. */
    private static final long LOOP_TIMEOUT_MS = 5_000;

    private final EventLoop loop;
    private final ThreadPoolExecutor thread = startThread();
    private boolean closed;

    /** One read or write of the directory. */
    interface Access<T> {
        T run() throws IOException;
    }

    DirectoryThread(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Starts the thread eagerly: if the system refused to start one later, the access that needed
     * it would be lost.
     */
    private static ThreadPoolExecutor startThread() {
        ThreadPoolExecutor executor =
                new ThreadPoolExecutor(
                        1,
                        1,
                        0,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(),
                        DirectoryThread::newThread);
        executor.prestartAllCoreThreads();
        return executor;
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "shared-directory");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Runs an access on the thread, and then one of the callbacks on the loop; has no effect after
     * {@link #close}. Called on the loop.
     */
    <T> void run(Access<T> access, Consumer<T> onSuccess, Consumer<IOException> onFailure) {
        if (closed) {
            return;
        }
        thread.execute(
                () -> {
                    try {
                        T result = access.run();
                        loop.execute(() -> onSuccess.accept(result));
                    } catch (IOException e) {
                        loop.execute(() -> onFailure.accept(e));
                    } catch (RuntimeException e) { // the caller waits for one of the callbacks
                        IOException failure = new IOException("an access failed", e);
                        loop.execute(() -> onFailure.accept(failure));
                    }
                });
    }

    /**
     * Runs a task on the loop and waits for its result. Called on this thread.
     *
     * @throws IOException if the task fails, or the loop does not run it in time
     */
    <T> T onLoop(Supplier<T> task) throws IOException {
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
            throw new IOException("the event loop did not run the task, or it failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** Runs a final task on the thread after those queued; later accesses have no effect. */
    void close(Runnable finalTask) {
        closed = true;
        thread.execute(finalTask);
    }
}
