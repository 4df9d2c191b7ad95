import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * The scheduler as a Faktory server, in a process of its own, with the operator's file of the
 * repository; only the addresses differ from it.
 */
final class FaktoryScheduler {
    private static final long START_TIMEOUT_MS = 20_000;
    private static final long STOP_TIMEOUT_MS = 15_000;

    final int port = Ports.free();
    private final Path root;
    private final Path folder;
    private final Path config;
    private final Record record;
    private Process process;

    FaktoryScheduler(Path root, Path folder, int storePort, Record record) throws IOException {
        this.root = root;
        this.folder = folder;
        this.record = record;
        this.config = folder.resolve("faktory.toml");
        String text = Files.readString(root.resolve("deploy/faktory.toml"));
        text = replace(text, "listen", "127.0.0.1:" + port);
        text = replace(text, "store", "redis://127.0.0.1:" + storePort);
        text = replace(text, "console", "");
        Files.writeString(config, text);
    }

    private static String replace(String text, String setting, String value) {
        return text.replaceFirst(
                "(?m)^" + setting + " = \"[^\"]*\"", setting + " = \"" + value + "\"");
    }

    /** Starts the process and waits until it accepts connections. */
    void start() throws IOException, InterruptedException {
        // the command that deploy/faktory.toml gives, with this test's copy of that file
        ProcessBuilder builder =
                new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        "exec java -jar target/damsonslip.jar serve '" + config + "'");
        builder.directory(root.toFile());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve("scheduler.log").toFile()));
        process = builder.start();
        Processes.started(process);
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
        while (true) {
            if (!process.isAlive()) {
                throw new IOException("the scheduler has ended with " + process.exitValue());
            }
            try (FaktoryPeer peer = new FaktoryPeer(port, "")) {
                record.log("scheduler: process %d serves", process.pid());
                return;
            } catch (IOException e) {
                if (System.nanoTime() > untilNs) {
                    throw new IOException("the scheduler does not start", e);
                }
                Thread.sleep(20);
            }
        }
    }

    /** Stops the process with SIGTERM, or with SIGKILL if it does not end in time. */
    void terminate() throws InterruptedException {
        record.log("scheduler: SIGTERM to process %d", process.pid());
        process.destroy();
        if (!process.waitFor(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            record.log("scheduler: SIGKILL to process %d, which has not ended", process.pid());
            process.destroyForcibly().waitFor();
        }
        record.log("scheduler: process %d has ended", process.pid());
    }
}
