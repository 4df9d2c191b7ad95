package damsonslip.cli;

import damsonslip.admin.console.ConsoleServer;
import damsonslip.admin.management.ManagementServer;
import damsonslip.admin.operations.Operations;
import damsonslip.config.ConfigurationException;
import damsonslip.config.SchedulerConfig;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.engine.FatalErrors;
import damsonslip.engine.Frontend;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.faktory.Faktory;
import damsonslip.faktory.FaktoryConfig;
import damsonslip.platform.Platform;
import java.io.IOException;
import java.util.Map;

/**
 * The command {@code serve}: runs the process of one scheduler, from its start to its exit.
 *
 * <p>The order of the start matters: signals are handled before the configuration is read; the
 * shutdown is registered and the management port listens before the first client is accepted.
 */
final class ServeCommand {
    /** How long a shutdown waits for open requests. */
    private static final long MAX_SHUTDOWN_MS = 60_000;

    private static final String CONSOLE_VARIABLE = "DAMSONSLIP_CONSOLE";

    private final ReloadSignal reloadSignal = ReloadSignal.handle();
    private final TerminationSignal terminationSignal = TerminationSignal.handle();
    private final EventLoop loop = new EventLoop();
    private final LifecyclePhase phase = new LifecyclePhase();
    private final Counters counters = new Counters();
    private final OperatorPorts operatorPorts = new OperatorPorts(loop);
    private Thread shutdownHook;

    /** A front with the addresses for operators from its configuration. */
    private record ConfiguredFront(
            Frontend front,
            Operations.OverrideStore overrides,
            String consoleAddress,
            String managementAddress) {}

    private ServeCommand() {}

    /**
     * Starts a scheduler; it runs on its own threads when this returns.
     *
     * @param file the Faktory front's configuration; null starts the platform's front, whose
     *     configuration the environment names
     * @throws ConfigurationException if the configuration cannot be used
     * @throws IOException if an address cannot be listened on
     */
    static void start(String file, Map<String, String> environment)
            throws ConfigurationException, IOException {
        new ServeCommand().startProcess(file, environment);
    }

    private void startProcess(String file, Map<String, String> environment)
            throws ConfigurationException, IOException {
        FatalErrors.handleUncaught();
        loop.onTaskFailed(() -> counters.add(Count.TASKS_FAILED));
        try {
            startFront(file == null ? platform(environment) : faktory(file));
        } catch (ConfigurationException | IOException | RuntimeException e) {
            removeShutdownHook();
            phase.advanceTo(State.ENDED);
            loop.stop();
            throw e;
        }
    }

    private ConfiguredFront platform(Map<String, String> environment)
            throws ConfigurationException, IOException {
        SchedulerConfig config = SchedulerConfig.read(environment);
        Platform platform = new Platform(loop, phase, counters, config, environment);
        String console = environment.getOrDefault(CONSOLE_VARIABLE, "");
        return new ConfiguredFront(platform, platform::changeOverrides, console, config.mgmt());
    }

    private ConfiguredFront faktory(String file) throws ConfigurationException, IOException {
        FaktoryConfig config = FaktoryConfig.read(file);
        Faktory faktory = new Faktory(loop, phase, counters, config, file);
        return new ConfiguredFront(
                faktory, Operations.OverrideStore.NONE, config.console(), config.mgmt());
    }

    private void startFront(ConfiguredFront configured) throws ConfigurationException, IOException {
        Frontend front = configured.front();
        // before the first connection, since a signal in between would drop its request
        Runnable shutdown = () -> shutDown(front);
        shutdownHook = new Thread(shutdown, "stop");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        terminationSignal.beforeExit(shutdown);
        ManagementServer management = new ManagementServer(loop);
        if (!configured.managementAddress().isBlank()) {
            // before clients connect, since an address in use ends the program
            management.listen(configured.managementAddress());
            operatorPorts.add(management);
        }
        front.start();
        Operations operations = new Operations(phase, counters, front, configured.overrides());
        if (!configured.consoleAddress().isBlank()) {
            ConsoleServer console = new ConsoleServer(loop, counters, front, operations);
            console.listen(configured.consoleAddress());
            operatorPorts.add(console);
        }
        reloadSignal.onReload(front::reload);
        // last, since an operator may send any signal once the scheduler reports that it is ready
        loop.execute(() -> management.serve(operations));
    }

    /** Removes the hook after a failed start, when there is nothing to shut down. */
    private void removeShutdownHook() {
        try {
            if (shutdownHook != null) {
                Runtime.getRuntime().removeShutdownHook(shutdownHook);
            }
        } catch (IllegalStateException e) {
            // the JVM is shutting down already and runs the hook, which finds the phase ENDED
        }
    }

    /** Shuts the front down gracefully; returns once it has ended or the time limit is over. */
    private void shutDown(Frontend front) {
        front.shutDown();
        try {
            phase.await(State.ENDED, MAX_SHUTDOWN_MS);
            operatorPorts.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        front.close();
        System.err.println(counters);
    }
}
