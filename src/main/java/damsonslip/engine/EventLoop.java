package damsonslip.engine;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread on which everything is decided, and its clock: microseconds since 1970 that never
 * go backwards. State that is touched only from here needs no locks.
 */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private final long epochUs = System.currentTimeMillis() * 1000;
    private final long nanosAtEpoch = System.nanoTime();
    private final ScheduledThreadPoolExecutor thread =
            new ScheduledThreadPoolExecutor(
                    1,
                    task -> {
                        Thread t = new Thread(task, "damsonslip");
                        t.setDaemon(false);
                        return t;
                    });

    private final LoopLatency waits = new LoopLatency();
    private volatile Runnable taskFailed = () -> {};

    public EventLoop() {
        thread.setRemoveOnCancelPolicy(true);
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    public long now() {
        return timeOf(System.nanoTime());
    }

    /** When this clock was begun, at the start of the program. */
    public long startedUs() {
        return epochUs;
    }

    /** What {@link #now} gave at that time of {@link System#nanoTime}. */
    public long timeOf(long nanoTime) {
        return epochUs + (nanoTime - nanosAtEpoch) / 1000;
    }

    public void execute(Runnable task) {
        if (!thread.isShutdown()) {
            thread.execute(guarded(task, System.nanoTime()));
        }
    }

    /** A timer that can be called off; a time that has passed means as soon as possible. */
    public Timer at(long timeUs, Runnable task) {
        if (thread.isShutdown()) {
            return () -> {};
        }
        long inUs = Math.max(0, timeUs - now());
        var set =
                thread.schedule(
                        guarded(task, System.nanoTime() + inUs * 1000),
                        inUs,
                        TimeUnit.MICROSECONDS);
        return () -> set.cancel(false);
    }

    public Timer in(long us, Runnable task) {
        return at(now() + us, task);
    }

    /** Has this told of each task that fails. */
    public void onTaskFailed(Runnable listener) {
        taskFailed = listener;
    }

    /** How long tasks have waited for their turn; read on the loop. */
    public LoopLatency waits() {
        return waits;
    }

    /** The thread itself, for a library that keeps its own timers. */
    public ScheduledThreadPoolExecutor executor() {
        return thread;
    }

    public void stop() {
        thread.shutdown();
    }

    /** Guards against one faulty event taking the thread, and with it every other query, down. */
    private Runnable guarded(Runnable task, long dueNs) {
        return () -> {
            try {
                waits.add((System.nanoTime() - dueNs) / 1000);
                task.run();
            } catch (RuntimeException
                    | Error e) { // an Error would be kept by the pool, and nobody would hear of it
                LOG.error("event=task_failed a task failed and was dropped", e);
                taskFailed.run();
            }
        };
    }

    /** A timer that was set. */
    public interface Timer {
        void cancel();
    }
}
