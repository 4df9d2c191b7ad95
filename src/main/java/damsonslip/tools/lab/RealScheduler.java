package damsonslip.tools.lab;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A real scheduler process, started with the production JVM flags and the list and settings of a
 * simulated fleet.
 */
final class RealScheduler implements Closeable {
    /** JVM flags of the command line in deploy/balancer.toml. */
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

    private static final String CONFIG =
            """
            {"name":"lab","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1","limits":{"sockets":1024},
            "known":%s,"settings":%s}\
            """;
    private static final long READY_TIMEOUT_MS = 60_000;
    private static final double CLOCK_TICKS_PER_SECOND = 100;
    private static final int UTIME_FIELD = 11;

    private final Path folder;
    private final Process process;
    private final double readySeconds;

    RealScheduler(HollowFleet fleet, int discoveryPort, String archive)
            throws IOException, InterruptedException {
        folder = Files.createTempDirectory("lab");
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                CONFIG.formatted(
                        freePort(), discoveryPort, fleet.fullList(1), fleet.settingsText()));
        List<String> command = new ArrayList<>(FLAGS);
        command.add(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        if (Files.exists(Path.of(archive))) {
            command.add("-XX:SharedArchiveFile=" + archive);
        }
        command.addAll(
                List.of(
                        "-cp",
                        System.getProperty("java.class.path"),
                        "damsonslip.cli.Main",
                        "serve"));
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        long from = System.nanoTime();
        process = builder.start();
        while (!Files.readString(folder.resolve("log")).contains("listens on")) {
            if (!process.isAlive()
                    || System.nanoTime() - from > TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS)) {
                String output = Files.readString(folder.resolve("log"));
                close();
                throw new IOException(
                        "lab: a scheduler did not start: " + output.lines().findFirst().orElse(""));
            }
            Thread.sleep(5);
        }
        readySeconds = (System.nanoTime() - from) / 1e9;
    }

    double readySeconds() {
        return readySeconds;
    }

    /** Returns the CPU time of all threads of the process since its start. */
    double cpuMs() throws IOException {
        String stat = Files.readString(proc("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
        return (Long.parseLong(fields[UTIME_FIELD]) + Long.parseLong(fields[UTIME_FIELD + 1]))
                / CLOCK_TICKS_PER_SECOND
                * 1e3;
    }

    double residentMb() throws IOException {
        return Files.readAllLines(proc("status")).stream()
                .filter(line -> line.startsWith("VmRSS:"))
                .mapToDouble(line -> Long.parseLong(line.replaceAll("\\D", "")) / 1024.0)
                .findFirst()
                .orElse(0);
    }

    /**
     * Returns the size of the live objects after a garbage collection, as counted by the JVM's
     * class histogram.
     */
    double heapKb() throws IOException, InterruptedException {
        Process histogram =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                                Long.toString(process.pid()),
                                "GC.class_histogram")
                        .redirectErrorStream(true)
                        .start();
        String text = new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        histogram.waitFor();
        String total =
                text.lines()
                        .filter(line -> line.startsWith("Total"))
                        .findFirst()
                        .orElseThrow(() -> new IOException("lab: jcmd gave no histogram"));
        return Long.parseLong(total.trim().split("\\s+", 0)[2]) / 1024.0;
    }

    private Path proc(String name) {
        return Path.of("/proc", Long.toString(process.pid()), name);
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
            for (String name : List.of("config.json", "log")) {
                Files.deleteIfExists(folder.resolve(name));
            }
            Files.deleteIfExists(folder);
        } catch (IOException | InterruptedException e) {
            System.err.println("lab: left behind " + folder + ": " + e.getMessage());
        }
    }
}
