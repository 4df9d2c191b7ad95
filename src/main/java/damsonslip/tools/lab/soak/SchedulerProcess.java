package damsonslip.tools.lab.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * One real scheduler of the fleet: its process, which may be restarted, its files and its discovery
 * stubs.
 */
final class SchedulerProcess {
    /** The JVM options of deploy/balancer.toml, except for the jar and the archive. */
    private static final List<String> FLAGS =
            List.of(
                    "-Djava.locale.providers=COMPAT",
                    "-Dslf4j.provider=org.slf4j.simple.SimpleServiceProvider",
                    "-Dslf4j.internal.verbosity=WARN",
                    "-Xms20m",
                    "-Xmx64m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:ReservedCodeCacheSize=24m",
                    "-XX:MaxMetaspaceSize=48m",
                    "-XX:-UsePerfData",
                    "-Xshare:auto");

    private static final long READY_US = 30 * Clock.SECOND;
    private static final int EXIT_BY_SIGTERM = 143;

    /**
     * What stays the same across restarts.
     *
     * @param program JVM arguments that select the program, such as {@code -jar FILE}
     */
    record Setup(Path folder, List<String> program, String settings) {
        Setup of(Path ownFolder, String ownSettings) {
            return new Setup(ownFolder, program, ownSettings);
        }
    }

    /** A span of time. */
    record Span(long fromUs, long toUs) {
        boolean contains(long us) {
            return us >= fromUs && us <= toUs;
        }
    }

    private final int number;
    private final Setup setup;
    private final int port;
    private final FaultControl faults;
    private final Ledger ledger;
    private final Membership membership;

    /** Time at which each change was first sent to the scheduler, by generation. */
    private final Map<Integer, Long> sentUs = new ConcurrentHashMap<>();

    private final List<DiscoveryStub> stubs = new CopyOnWriteArrayList<>();

    /** Times of SIGKILL. Requests in flight at a kill may be lost; their clients have to retry. */
    private final List<Span> kills = new CopyOnWriteArrayList<>();

    private final List<Path> logs = new CopyOnWriteArrayList<>();
    private volatile Process process;
    private volatile long readyUs;
    private volatile boolean stopping;

    SchedulerProcess(
            int number,
            Setup setup,
            int port,
            FaultControl faults,
            Ledger ledger,
            Membership membership)
            throws IOException {
        this.number = number;
        this.setup = setup;
        this.port = port;
        this.faults = faults;
        this.ledger = ledger;
        this.membership = membership;
        stubs.add(new DiscoveryStub(membership, sentUs));
    }

    int port() {
        return port;
    }

    FaultControl faults() {
        return faults;
    }

    /** The discovery stub that is configured now. */
    DiscoveryStub discovery() {
        return stubs.get(stubs.size() - 1);
    }

    Map<Integer, Long> sentUs() {
        return sentUs;
    }

    List<Span> kills() {
        return kills;
    }

    /** Time at which the current process became ready. */
    long readyUs() {
        return readyUs;
    }

    private Path config() {
        return setup.folder().resolve("config.json");
    }

    private void writeConfig() throws IOException {
        Files.writeString(
                config(),
                "{\"name\":\"n"
                        + number
                        + "\",\"listen\":\"127.0.0.1:"
                        + port
                        + "\",\"discovery\":\"127.0.0.1:"
                        + discovery().port()
                        + "\",\"seed\":\""
                        + (number + 1)
                        + "\",\"limits\":{\"sockets\":512},\"known\":"
                        + membership.snapshot()
                        + ",\"settings\":"
                        + setup.settings()
                        + "}");
    }

    void start() throws IOException {
        writeConfig();
        Path log = setup.folder().resolve("log-" + logs.size());
        logs.add(log);
        List<String> command = new ArrayList<>(FLAGS);
        command.add(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(setup.program());
        command.add("serve");
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("ROUTER_CONFIG", config().toString());
        builder.environment().put("TMPDIR", setup.folder().toString());
        if (faults != null) {
            faults.restore(SystemCall.THREAD_CREATE); // a JVM does not start without threads
            builder.environment().putAll(faults.environment());
        }
        stopping = false;
        process = builder.start();
        Process started = process;
        // leave no process behind when the soak is interrupted
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Waits until the scheduler serves, or records a finding. */
    void awaitReady() throws IOException, InterruptedException {
        long endUs = Clock.nowUs() + READY_US;
        Path log = logs.get(logs.size() - 1);
        while (!Files.readString(log).contains("listens on")) {
            if (!process.isAlive() || Clock.nowUs() > endUs) {
                ledger.report("start", "n" + number, "not ready: " + Files.readString(log));
                return;
            }
            Clock.sleepUs(10 * Clock.MILLISECOND);
        }
        readyUs = Clock.nowUs();
    }

    /**
     * Sends a signal. The JVM drops signals while it cannot start a thread (KNOWN-RED.txt), so that
     * fault is removed first.
     */
    private void signal(String name) throws IOException, InterruptedException {
        if (faults != null) {
            faults.restore(SystemCall.THREAD_CREATE);
        }
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Restarts the process by SIGTERM while the run continues. */
    void restart(long limitUs) throws IOException, InterruptedException {
        stopping = true;
        signal("TERM");
        if (!process.waitFor(limitUs, TimeUnit.MICROSECONDS)) {
            ledger.report(
                    "stop",
                    "n" + number,
                    "still running " + limitUs / Clock.MILLISECOND + " ms after SIGTERM");
            kill();
        } else if (process.exitValue() != EXIT_BY_SIGTERM) {
            ledger.report("stop", "n" + number, "exit code " + process.exitValue());
        }
        start();
        awaitReady();
    }

    /** Kills the process and starts it again after this time. */
    void killAndStart(long afterUs) throws IOException, InterruptedException {
        kill();
        Clock.sleepUs(afterUs);
        start();
        awaitReady();
    }

    private void kill() throws InterruptedException {
        stopping = true;
        long fromUs = Clock.nowUs();
        process.destroyForcibly().waitFor();
        kills.add(new Span(fromUs, Clock.nowUs()));
    }

    /**
     * Suspends the process for this time. One shell sends both signals, since starting a second
     * program may take as long as the pause itself.
     */
    void pause(long us) throws IOException, InterruptedException {
        long pid = process.pid();
        String commands = "kill -STOP " + pid + "; sleep " + us / 1e6 + "; kill -CONT " + pid;
        new ProcessBuilder("sh", "-c", commands).start().waitFor();
    }

    /**
     * Moves discovery to a new address and reloads the configuration by SIGHUP; the old address
     * closes after 1.5 s.
     */
    void reload() throws IOException, InterruptedException {
        if (stopping || !process.isAlive()) {
            return;
        }
        DiscoveryStub old = discovery();
        stubs.add(new DiscoveryStub(membership, sentUs));
        writeConfig();
        signal("HUP");
        Clock.sleepUs(3 * Clock.SECOND / 2);
        old.close();
    }

    /** Records a finding if the process has ended without having been stopped. */
    void checkAlive() throws IOException {
        if (!stopping && !process.isAlive()) {
            String last = output().lines().reduce((before, after) -> after).orElse("");
            ledger.report("crash", "n" + number, "exit code " + process.exitValue() + ": " + last);
        }
    }

    /** Processor time of the current process. */
    long cpuUs() {
        return process.info().totalCpuDuration().map(Duration::toNanos).orElse(0L) / 1_000;
    }

    /** The output of all processes of this scheduler. */
    String output() throws IOException {
        StringBuilder all = new StringBuilder();
        for (Path log : logs) {
            all.append(Files.readString(log, StandardCharsets.UTF_8));
        }
        return all.toString();
    }

    void close() throws IOException, InterruptedException {
        stopping = true;
        process.destroyForcibly().waitFor();
        for (DiscoveryStub stub : stubs) {
            stub.close();
        }
    }
}
