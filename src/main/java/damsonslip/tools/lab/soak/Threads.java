package damsonslip.tools.lab.soak;

import java.io.IOException;

/** Starts the soak's threads, which end with the connections that they serve. */
final class Threads {
    private static final long STACK = 128 * 1024;

    /** The body of a thread. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private Threads() {}

    static Thread start(String name, Task task) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | InterruptedException e) {
                                // the peer disconnected, or the run is over
                            }
                        },
                        name,
                        STACK);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
