package damsonslip.transport;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The threads of Jetty's selector. They are in a pool of the JDK, since Jetty's own generates code
 * for the names of its threads and looks for a security manager, which takes a tenth of the CPU
 * time of a process start.
 */
final class SelectorThreads {
    /**
     * One for the selector, one for the tasks it hands over, and two spare ones if either blocks.
     */
    private static final int THREADS = 4;

    private SelectorThreads() {}

    /**
     * Starts all threads immediately: if a thread could not be created later, the connection that
     * needed it would be lost.
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
