package damsonslip.transport;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The threads of Jetty's selector. The JDK's pool, since Jetty's own generates code for its
 * threads' names and looks for a security manager, which costs a tenth of the CPU of a start.
 */
final class SelectorThreads {
    /** A selector, what it hands over, and two to spare while either waits. */
    private static final int THREADS = 4;

    private SelectorThreads() {}

    /**
     * Starts all threads at once: one that the system refuses later would cost the connection that
     * asked for it.
     */
    static ThreadPoolExecutor start() {
        ThreadPoolExecutor threads =
                new ThreadPoolExecutor(
                        THREADS,
                        THREADS,
                        0,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(),
                        SelectorThreads::newThread);
        threads.prestartAllCoreThreads();
        return threads;
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "net");
        thread.setDaemon(true);
        return thread;
    }
}
