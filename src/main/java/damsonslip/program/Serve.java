package damsonslip.program;

import damsonslip.core.Counters;
import damsonslip.core.Loop;
import damsonslip.core.Phase;
import damsonslip.core.Phase.State;
import damsonslip.platform.Platform;
import damsonslip.settings.BadInput;
import damsonslip.settings.NodeConfig;
import java.io.IOException;
import java.util.Map;

/** The real scheduler's process, from its start to its exit. */
final class Serve {
    /** Past this, a stop no longer waits for queries to end. */
    private static final long LONGEST_STOP_MS = 60_000;

    private Serve() { }

    static void start(Map<String, String> environment) throws BadInput, IOException {
        NodeConfig config = NodeConfig.read(environment);
        Loop loop = new Loop();
        Phase phase = new Phase();
        Counters counters = new Counters();
        Platform platform = new Platform(loop, phase, counters, config);
        platform.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(platform, phase, counters), "stop"));
    }

    /** Runs when the process is told to end, which the JVM puts off until this returns. */
    private static void stop(Platform platform, Phase phase, Counters counters) {
        platform.leave();
        try {
            phase.await(State.ENDED, LONGEST_STOP_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        System.err.println(counters);
    }
}
