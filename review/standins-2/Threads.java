package review2;

import java.io.IOException;

/** Daemon threads of the stand-ins; the end of a connection ends its thread. */
final class Threads {
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private Threads() {}

    static void start(String name, Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                return; // the connection or the listener was closed
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        name);
        thread.setDaemon(true);
        thread.start();
    }
}
