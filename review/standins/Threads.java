/** Starts threads that do not keep the test alive. */
final class Threads {
    private Threads() {}

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
