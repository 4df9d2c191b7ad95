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
 * One real scheduler of the fleet: its process, which may be replaced, its files and its view of
 * discovery.
 */
final class SchedulerProcess {
    /** The run line of deploy/balancer.toml, but for the jar and the archive. */
    private static final List<String> FLAGS =
            List.of(
                    "-Djava.locale.providers=COMPAT",
                    "-Dslf4j.provider=org.slf4j.simple.SimpleServiceProvider",
                    "-Dslf4j.internal.verbosity=WARN",
                    "-Xms24m",
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
     * What does not change from one start to the next.
     *
     * @param program the words for the JVM that name the program, such as {@code -jar FILE}
     */
    record Setup(Path folder, List<String> program, String settings) {
        Setup of(Path ownFolder, String ownSettings) {
            return new Setup(ownFolder, program, ownSettings);
        }
    }

    /** A span of time. */
    record Span(long fromUs, long toUs) {
        boolean holds(long us) {
            return us >= fromUs && us <= toUs;
        }
    }

    private final int number;
    private final Setup setup;
    private final int port;
    private final FaultControl faults;
    private final Ledger ledger;
    private final Membership membership;

    /** When each change was told, by its generation. */
    private final Map<Integer, Long> toldUs = new ConcurrentHashMap<>();

    private final List<DiscoveryStub> fronts = new CopyOnWriteArrayList<>();

    /** When it was killed outright; whatever it held then is its client's to repeat. */
    private final List<Span> kills = new CopyOnWriteArrayList<>();

    private final List<Path> logs = new CopyOnWriteArrayList<>();
    private volatile Process process;
    private volatile long readyUs;
    private volatile boolean leaving;

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
        fronts.add(new DiscoveryStub(membership, toldUs));
    }

    int port() {
        return port;
    }

    FaultControl faults() {
        return faults;
    }

    /** Discovery at its newest address. */
    DiscoveryStub discovery() {
        return fronts.get(fronts.size() - 1);
    }

    Map<Integer, Long> toldUs() {
        return toldUs;
    }

    List<Span> kills() {
        return kills;
    }

    /** When the process at hand was ready. */
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
                        + membership.whole()
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
        leaving = false;
        process = builder.start();
        Process started = process;
        // a soak that is ended leaves none behind
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Waits until it serves. */
    void awaitReady() throws IOException, InterruptedException {
        long endUs = Clock.nowUs() + READY_US;
        Path log = logs.get(logs.size() - 1);
        while (!Files.readString(log).contains("listens on")) {
            if (!process.isAlive() || Clock.nowUs() > endUs) {
                ledger.find("start", "n" + number, "not ready: " + Files.readString(log));
                return;
            }
            Clock.sleepUs(10 * Clock.MILLISECOND);
        }
        readyUs = Clock.nowUs();
    }

    /**
     * The JVM drops signals where it can start no thread (KNOWN-RED.txt): that trouble ends with a
     * signal.
     */
    private void signal(String name) throws IOException, InterruptedException {
        if (faults != null) {
            faults.restore(SystemCall.THREAD_CREATE);
        }
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Ends by SIGTERM and starts anew; the run goes on meanwhile. */
    void restart(long mostUs) throws IOException, InterruptedException {
        leaving = true;
        signal("TERM");
        if (!process.waitFor(mostUs, TimeUnit.MICROSECONDS)) {
            ledger.find(
                    "stop",
                    "n" + number,
                    "still running " + mostUs / Clock.MILLISECOND + " ms after SIGTERM");
            kill();
        } else if (process.exitValue() != EXIT_BY_SIGTERM) {
            ledger.find("stop", "n" + number, "exit code " + process.exitValue());
        }
        start();
        awaitReady();
    }

    /** Dies at once and starts anew after a while. */
    void killAndStart(long afterUs) throws IOException, InterruptedException {
        kill();
        Clock.sleepUs(afterUs);
        start();
        awaitReady();
    }

    private void kill() throws InterruptedException {
        leaving = true;
        long fromUs = Clock.nowUs();
        process.destroyForcibly().waitFor();
        kills.add(new Span(fromUs, Clock.nowUs()));
    }

    /**
     * Stands still for so long; one shell does it all, since to start another program may take as
     * long again.
     */
    void pause(long us) throws IOException, InterruptedException {
        long pid = process.pid();
        String commands = "kill -STOP " + pid + "; sleep " + us / 1e6 + "; kill -CONT " + pid;
        new ProcessBuilder("sh", "-c", commands).start().waitFor();
    }

    /**
     * Discovery moves to another address; the old one accepts nobody and ends its watches after 1.5
     * s.
     */
    void reload() throws IOException, InterruptedException {
        if (leaving || !process.isAlive()) {
            return;
        }
        DiscoveryStub old = discovery();
        fronts.add(new DiscoveryStub(membership, toldUs));
        writeConfig();
        signal("HUP");
        Clock.sleepUs(3 * Clock.SECOND / 2);
        old.close();
    }

    /** Whether it runs, or ends because it was told to; a crash is written down. */
    void checkAlive() throws IOException {
        if (!leaving && !process.isAlive()) {
            String last = said().lines().reduce((before, after) -> after).orElse("");
            ledger.find("crash", "n" + number, "exit code " + process.exitValue() + ": " + last);
        }
    }

    /** Processor time of the process at hand. */
    long cpuUs() {
        return process.info().totalCpuDuration().map(Duration::toNanos).orElse(0L) / 1_000;
    }

    /** All that its processes have said. */
    String said() throws IOException {
        StringBuilder all = new StringBuilder();
        for (Path log : logs) {
            all.append(Files.readString(log, StandardCharsets.UTF_8));
        }
        return all.toString();
    }

    void close() throws IOException, InterruptedException {
        leaving = true;
        process.destroyForcibly().waitFor();
        for (DiscoveryStub front : fronts) {
            front.close();
        }
    }
}
