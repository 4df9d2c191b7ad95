package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** The project's scheduler as a Faktory server, started with the operators' file. */
final class Scheduler implements AutoCloseable {
    private static final Path OPERATORS_FILE = Path.of("deploy/faktory.toml");
    private static final long START_TIMEOUT_MS = 30_000;

    final int port;
    private final Path log;
    private final Path file;
    private Process process;

    /** Prepares a scheduler; replacements are texts of the file, each followed by what replaces it. */
    Scheduler(Path folder, String name, int storePort, String... replacements) throws IOException {
        port = freePort();
        log = folder.resolve(name + ".log");
        file = folder.resolve(name + ".toml");
        String text = Files.readString(OPERATORS_FILE);
        text = replace(text, "\"127.0.0.1:7419\"", "\"127.0.0.1:" + port + "\"");
        text = replace(text, "\"127.0.0.1:7420\"", "\"\"");
        text = replace(text, "redis://127.0.0.1:6379", "redis://127.0.0.1:" + storePort);
        text = replace(text, "\"school-desk\"", "\"" + name + "\"");
        for (int i = 0; i < replacements.length; i += 2) {
            text = replace(text, replacements[i], replacements[i + 1]);
        }
        Files.writeString(file, text);
    }

    private static String replace(String text, String found, String by) throws IOException {
        if (!text.contains(found)) {
            throw new IOException(OPERATORS_FILE + " lacks " + found);
        }
        return text.replace(found, by);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts it, and waits until it has taken up what the store holds. */
    void start() throws IOException, InterruptedException {
        Files.deleteIfExists(log);
        process =
                new ProcessBuilder(
                                "/bin/sh",
                                "-c",
                                "exec java -jar target/damsonslip.jar serve " + file)
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile())
                        .start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        long end = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
        while (!Files.readString(log, StandardCharsets.UTF_8).contains("event=jobs_recovered")) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("the scheduler did not start: " + Files.readString(log));
            }
            Thread.sleep(50);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Ends it at once, as SIGKILL does. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
