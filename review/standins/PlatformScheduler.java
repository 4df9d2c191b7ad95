import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** One process of a platform scheduler, started by the line {@code run} of the deploy file. */
final class PlatformScheduler {
    private static final long START_TIMEOUT_MS = 20_000;
    private static final String LOG = "scheduler.log";
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");

    final int port;
    final int managementPort;
    private final Path root;
    private final Path folder;
    private final Path temporary;
    private final Path config;
    private final Record record;
    private Process process;

    /**
     * @param temporary the folder that the processes of one scheduler share as TMPDIR
     */
    PlatformScheduler(
            Path root, Path folder, Path temporary, int port, int discoveryPort, Record record)
            throws IOException {
        this.root = root;
        this.folder = folder;
        this.temporary = temporary;
        this.port = port;
        this.record = record;
        this.managementPort = Ports.free();
        this.config = folder.resolve("config-" + managementPort + ".json");
        Files.writeString(config, Settings.config(port, discoveryPort, managementPort));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Starts the process and waits until READY is answered with a yes. */
    void start() throws IOException, InterruptedException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no line run");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        builder.directory(root.toFile());
        builder.environment().put("ROUTER_NAME", "n0");
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(LOG).toFile()));
        process = builder.start();
        Processes.started(process);
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (!manage("READY").startsWith("YES")) {
            if (!process.isAlive()) {
                throw new IOException("the scheduler has ended with " + process.exitValue());
            }
            if (System.nanoTime() > untilNs) {
                throw new IOException("the scheduler does not start");
            }
            Thread.sleep(20);
        }
        record.log("scheduler: process %d says YES to READY", process.pid());
    }

    /** Returns how many lines of the scheduler's log have this text. */
    long logLines(String text) throws IOException {
        try (Stream<String> lines =
                Files.lines(folder.resolve(LOG), StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }

    /** Calls the second address; returns the answer's first line, empty if there is none. */
    String manage(String call) {
        return Http.line(managementPort, call);
    }
}
