package damsonslip.engine;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends the process after an error that it cannot recover from. A process that has lost one of its
 * threads, or the memory to serve, would keep its port and answer nobody; one that has ended is
 * noticed, and started again. The process is halted, since a graceful shutdown would need what has
 * failed. Thread-safe.
 */
public final class FatalErrors {
    /** The exit code of a process that was ended here. */
    public static final int EXIT_CODE = 70;

    private static final Logger LOG = LoggerFactory.getLogger(FatalErrors.class);

    private FatalErrors() {}

    /** Ends the process on a fatal error of any thread that nothing else handles. */
    public static void handleUncaught() {
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, failure) -> {
                    endProcessIfFatal(failure);
                    LOG.error("event=thread_failed thread={}", thread.getName(), failure);
                });
    }

    /**
     * Ends the process if an error leaves the JVM without memory or in an undefined state; after a
     * stack overflow, which ends one task only, it goes on.
     */
    public static void endProcessIfFatal(Throwable failure) {
        if (failure instanceof VirtualMachineError && !(failure instanceof StackOverflowError)) {
            endProcess("a task failed for good", failure);
        }
    }

    /** Runs the whole work of a thread that the process cannot do without; ends with it. */
    public static void runEssential(String thread, Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | Error failure) {
            endProcess("thread " + thread + " failed", failure);
        }
    }

    /** Ends the process at once with {@link #EXIT_CODE}. */
    public static void endProcess(String reason, Throwable failure) {
        try {
            LOG.error("event=process_ended reason=\"{}\"", reason, failure);
        } finally { // logging may need the memory that is missing
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
