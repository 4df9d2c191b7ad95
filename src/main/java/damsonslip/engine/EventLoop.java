package damsonslip.engine;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The single thread on which all scheduling decisions are made, with its clock. State that is used
 * only on this thread needs no locks.
 *
 * <p>The clock gives microseconds since the Unix epoch and never goes backwards: it follows the
 * system's monotonic clock from the creation of the loop on.
 *
 * <p>Thread-safe, except for {@link #latency}.
 */
public final class EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final String THREAD_NAME = "damsonslip";

    private final long startedUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
    private final long startedNanoTime = System.nanoTime();
    private final ScheduledThreadPoolExecutor executor =
            new ScheduledThreadPoolExecutor(1, EventLoop::newThread);
    private final LoopLatency latency = new LoopLatency();
    private volatile Runnable failureListener = () -> {};

    /** A scheduled task. */
    public interface Timer {
        /** Cancels the task; does nothing if it has already run. */
        void cancel();
    }

    /** Creates a loop; its thread starts with the first task and keeps the process alive. */
    public EventLoop() {
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, THREAD_NAME);
        thread.setDaemon(false);
        return thread;
    }

    /** Returns the current time in microseconds since the Unix epoch. */
    public long nowUs() {
        return toEpochUs(System.nanoTime());
    }

    /** Returns the time at which the loop was created. */
    public long startedUs() {
        return startedUs;
    }

    /** Returns the time on this clock at a given value of {@link System#nanoTime}. */
    public long toEpochUs(long nanoTime) {
        return startedUs + TimeUnit.NANOSECONDS.toMicros(nanoTime - startedNanoTime);
    }

    /** Runs a task on the loop as soon as possible; does nothing after {@link #stop}. */
    public void execute(Runnable task) {
        if (!executor.isShutdown()) {
            executor.execute(guarded(task, System.nanoTime()));
        }
    }

    /**
     * Runs a task at a time, or as soon as possible if that has passed; does nothing after {@link
     * #stop}.
     */
    public Timer scheduleAt(long timeUs, Runnable task) {
        if (executor.isShutdown()) {
            return () -> {};
        }
        long delayUs = Math.max(0, timeUs - nowUs());
        long dueNanoTime = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(delayUs);
        ScheduledFuture<?> scheduled =
                executor.schedule(guarded(task, dueNanoTime), delayUs, TimeUnit.MICROSECONDS);
        return () -> scheduled.cancel(false);
    }

    /** Runs a task after a delay in microseconds; does nothing after {@link #stop}. */
    public Timer scheduleAfter(long delayUs, Runnable task) {
        return scheduleAt(nowUs() + delayUs, task);
    }

    /**
     * Runs a task again and again, each time after a pause in microseconds, also after it has
     * failed; until {@link #stop}.
     */
    public void repeatAfter(long pauseUs, Runnable task) {
        Runnable taskAndNext =
                () -> {
                    try {
                        task.run();
                    } finally {
                        repeatAfter(pauseUs, task);
                    }
                };
        scheduleAfter(pauseUs, taskAndNext);
    }

    /** Sets the listener that is called on the loop for each task that fails. */
    public void onTaskFailed(Runnable listener) {
        failureListener = listener;
    }

    /** Returns how long tasks waited for the thread; may be read on the loop only. */
    public LoopLatency latency() {
        return latency;
    }

    /** Returns the underlying executor, for a library that needs one for its own timers. */
    public ScheduledThreadPoolExecutor executor() {
        return executor;
    }

    /** Stops the loop after the tasks that are ready to run; those due later are dropped. */
    public void stop() {
        executor.shutdown();
    }

    /** Wraps a task so that a failure is logged and ends neither the thread nor other requests. */
    private Runnable guarded(Runnable task, long dueNanoTime) {
        return () -> {
            try {
                latency.add(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanoTime));
                task.run();
            } catch (RuntimeException | Error e) { // the executor would swallow an Error silently
                FatalErrors.endProcessIfFatal(e);
                LOG.error("event=task_failed a task on the event loop failed", e);
                failureListener.run();
            }
        };
    }
}
