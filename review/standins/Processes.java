import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The processes that this test has started; all are ended when it ends. */
final class Processes {
    private static final List<Process> STARTED = new CopyOnWriteArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Processes::endAll));
    }

    private Processes() {}

    static void started(Process process) {
        STARTED.add(process);
    }

    private static void endAll() {
        STARTED.forEach(Process::destroyForcibly);
    }
}
