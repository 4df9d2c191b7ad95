package damsonslip.cli;

import damsonslip.admin.console.ConsoleServer;
import damsonslip.admin.management.ManagementServer;
import damsonslip.admin.operations.Operations;
import damsonslip.config.ConfigurationException;
import damsonslip.config.SchedulerConfig;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.engine.Frontend;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.faktory.Faktory;
import damsonslip.faktory.FaktoryConfig;
import damsonslip.platform.Platform;
import java.io.IOException;
import java.util.Map;

/** The real scheduler's process, from its start to its exit. */
final class Serve {
    /** Past this, a stop no longer waits for queries to end. */
    private static final long LONGEST_STOP_MS = 60_000;

    private Serve() {}

    /**
     * Serves the platform, whose configuration the environment names, or what an operator's file
     * sets up.
     */
    static void start(String file, Map<String, String> environment)
            throws ConfigurationException, IOException {
        HangUp hangUp = HangUp.caught();
        Termination termination = Termination.handled();
        EventLoop loop = new EventLoop();
        LifecyclePhase phase = new LifecyclePhase();
        Counters counters = new Counters();
        loop.onTaskFailed(() -> counters.add(Count.TASKS_FAILED));
        Thread stop = null;
        try {
            Frontend front;
            String console;
            String second;
            Operations.OverrideStore keeper = Operations.OverrideStore.NONE;
            if (file == null) {
                SchedulerConfig config = SchedulerConfig.read(environment);
                Platform platform = new Platform(loop, phase, counters, config, environment);
                front = platform;
                keeper = platform::change;
                second = config.mgmt();
                console = environment.getOrDefault("DAMSONSLIP_CONSOLE", "");
            } else {
                FaktoryConfig config = FaktoryConfig.read(file);
                front = new Faktory(loop, phase, counters, config, file);
                console = config.console();
                second = config.mgmt();
            }
            // before the first connection is taken: a stop that came in between would end the
            // program over its query
            Runnable stopping = () -> stop(front, phase, counters);
            stop = new Thread(stopping, "stop");
            Runtime.getRuntime().addShutdownHook(stop); // for an exit of the program's own
            termination.after(stopping);
            ManagementServer mgmt = new ManagementServer(loop);
            if (!second.isBlank()) {
                mgmt.listen(
                        second); // before clients find the door open: one that is taken ends the
                // program
            }
            front.start();
            Operations operations = new Operations(phase, counters, front, keeper);
            if (!console.isBlank()) {
                new ConsoleServer(loop, counters, front, operations).listen(console);
            }
            hangUp.then(front::reload);
            loop.execute(() -> mgmt.serve(operations)); // whoever hears yes may send any signal
        } catch (ConfigurationException | IOException e) {
            forget(stop);
            phase.moveTo(State.ENDED);
            loop.stop();
            throw e;
        }
    }

    /** A start that has failed has nothing to bring to an end. */
    private static void forget(Thread stop) {
        try {
            if (stop != null) {
                Runtime.getRuntime().removeShutdownHook(stop);
            }
        } catch (IllegalStateException e) {
            // the program is on its way out already
        }
    }

    /** Brings the front to an end; the process goes on until this returns. */
    private static void stop(Frontend front, LifecyclePhase phase, Counters counters) {
        front.leave();
        try {
            phase.await(State.ENDED, LONGEST_STOP_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        front.close();
        System.err.println(counters);
    }
}
