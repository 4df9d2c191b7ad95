package damsonslip.testkit;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** Runs the program in a separate process, started as an operator would start it. */
public final class Program implements AutoCloseable {
    /** {@code /proc} reports memory sizes in KB. */
    private static final int KB = 1_024;

    private static final long AWAIT_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(10);
    private static final long POLL_INTERVAL_MS = 5;

    /** Time that the JVM is given to write its thread dump. */
    private static final long THREAD_DUMP_MS = 500;

    private final Path config;
    private final Process process;
    private final StringBuilder output = new StringBuilder();
    private final Thread reader;
    private String pauseMarker;
    private boolean readingPaused;

    public Program(Path config, String... args) throws IOException {
        this(config, List.of(), args);
    }

    /** Starts the program with additional JVM options. */
    public Program(Path config, List<String> jvmOptions, String... args) throws IOException {
        this(config, Map.of(), jvmOptions, args);
    }

    /** Starts the program with additional JVM options and environment variables. */
    public Program(
            Path config, Map<String, String> environment, List<String> jvmOptions, String... args)
            throws IOException {
        this(config, environment, jvmOptions, 0, args);
    }

    /** Starts the program with its data segment limited to {@code maxDataKb}; 0 means no limit. */
    public Program(
            Path config,
            Map<String, String> environment,
            List<String> jvmOptions,
            int maxDataKb,
            String... args)
            throws IOException {
        this(
                config,
                environment,
                command(jvmOptions, maxDataKb > 0 ? "-d " + maxDataKb : "", args));
    }

    /** Starts the program with a limit on its open file descriptors. */
    public static Program withDescriptors(Path config, int maxDescriptors, String... args)
            throws IOException {
        return new Program(config, Map.of(), command(List.of(), "-n " + maxDescriptors, args));
    }

    private Program(Path config, Map<String, String> environment, List<String> command)
            throws IOException {
        this.config = config;
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        if (config != null) {
            builder.environment().put("ROUTER_CONFIG", config.toString());
            builder.environment().put("TMPDIR", config.getParent().toString());
        }
        builder.environment().putAll(environment);
        process = builder.start();
        reader = new Thread(this::read, "program output");
        reader.start();
    }

    /**
     * What {@code run} of the deploy file starts: the jar, which has to be built, with the archive
     * of its classes.
     */
    public static Program deployed(Path config, Map<String, String> environment)
            throws IOException {
        return new Program(config, environment, List.of("/bin/sh", "-c", DeployFile.run()));
    }

    /**
     * The program's command line under a limit of the shell's {@code ulimit}, or none if that is
     * empty.
     */
    private static List<String> command(List<String> jvmOptions, String limit, String... args) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-XX:TieredStopAtLevel=1",
                                "-XX:+UseSerialGC",
                                "-Ddamsonslip.invariants=refuse",
                                "--add-opens=java.base/jdk.internal.misc=ALL-UNNAMED",
                                "-cp", // what the jar's manifest asks for
                                System.getProperty(
                                        "surefire.test.class.path",
                                        System.getProperty("java.class.path")),
                                "damsonslip.cli.Main"));
        command.addAll(1, jvmOptions);
        command.addAll(List.of(args));
        if (!limit.isEmpty()) {
            command.addAll(0, List.of("sh", "-c", "ulimit " + limit + "; exec \"$@\"", "sh"));
        }
        return command;
    }

    private void read() {
        try (BufferedReader in =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                synchronized (output) {
                    output.append(line).append('\n');
                    readingPaused = pauseMarker != null && line.contains(pauseMarker);
                    while (pauseMarker != null && readingPaused) {
                        output.wait();
                    }
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Stops reading the output at the first line that contains this text, until {@link
     * #resumeReading}. A thread of the program that writes more than the pipe holds then blocks
     * wherever it is.
     */
    public void pauseReadingAfter(String text) {
        synchronized (output) {
            pauseMarker = text;
        }
    }

    /** Whether the text was found and reading is paused. */
    public boolean isReadingPaused() {
        synchronized (output) {
            return readingPaused;
        }
    }

    public void resumeReading() {
        synchronized (output) {
            pauseMarker = null;
            readingPaused = false;
            output.notifyAll();
        }
    }

    public String output() {
        synchronized (output) {
            return output.toString();
        }
    }

    /**
     * Waits until the output contains this text; fails with the whole output if the program exits
     * first or the wait times out.
     */
    public Program awaitOutput(String text) {
        return await("it says '" + text + "'", () -> output().contains(text), this);
    }

    /** Waits for a condition that this program has to bring about; fails early if it exits. */
    public static Program await(String what, BooleanSupplier condition, Program program) {
        long deadline = System.nanoTime() + AWAIT_TIMEOUT_NS;
        while (!condition.getAsBoolean()) {
            if (program.hasEnded() && !condition.getAsBoolean()) {
                throw new AssertionError(
                        "the program ended before " + what + ": " + program.output());
            }
            if (System.nanoTime() > deadline) {
                throw new AssertionError(
                        "did not come about: "
                                + what
                                + "; the program: "
                                + program.outputWithThreads());
            }
            pause();
        }
        return program;
    }

    /** Whether the process has exited and all its output is read. */
    private boolean hasEnded() {
        return !process.isAlive() && !reader.isAlive();
    }

    /** The output, followed by a thread dump. */
    private String outputWithThreads() {
        try {
            signal("QUIT"); // the JVM answers with the stacks of its threads
            Thread.sleep(THREAD_DUMP_MS);
        } catch (IOException | InterruptedException e) {
            return output() + e;
        }
        return output();
    }

    /** Replaces the configuration file, unless the text is null, and triggers a reload. */
    public Program reload(String text) throws IOException, InterruptedException {
        if (text != null) {
            Files.writeString(config, text);
        }
        return signal("HUP");
    }

    public Program signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        return this;
    }

    /** Sends SIGTERM, as a planned restart does, without waiting for the exit. */
    public void terminate() {
        process.toHandle().destroy(); // Process.destroy would close its output as well
    }

    public void kill() {
        process.destroyForcibly();
    }

    /** The number of open sockets, from {@code /proc}. */
    public int sockets() {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return (int) open.filter(Program::isSocket).count();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The resident set size. */
    public long residentMb() throws IOException {
        return status("VmRSS:") / KB;
    }

    /** The peak resident set size. */
    public long peakResidentMb() throws IOException {
        return status("VmHWM:") / KB;
    }

    /** The size of all objects that a garbage collection leaves, in bytes. */
    public long liveHeapBytes() throws IOException, InterruptedException {
        Process histogram =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                                Long.toString(process.pid()),
                                "GC.class_histogram")
                        .redirectErrorStream(true)
                        .start();
        String text = new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        histogram.waitFor();
        return text.lines()
                .filter(line -> line.startsWith("Total"))
                .mapToLong(line -> Long.parseLong(line.strip().split("\\s+")[2]))
                .findFirst()
                .orElseThrow(() -> new IOException("no histogram: " + text));
    }

    /** The current number of threads. */
    public long threads() throws IOException {
        return status("Threads:");
    }

    private long status(String field) throws IOException {
        return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(line -> line.startsWith(field))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }

    /** The CPU time used so far. */
    public Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    private static boolean isSocket(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
        } catch (IOException e) {
            return false; // closed in the meantime
        }
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Waits up to 20 seconds for the process to exit and returns its exit code. */
    public int exit() throws InterruptedException {
        return exit(20);
    }

    public int exit(long seconds) throws InterruptedException {
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new AssertionError("still running: " + output());
        }
        reader.join();
        return process.exitValue();
    }

    @Override
    public void close() {
        resumeReading();
        process.destroyForcibly();
        for (String fault :
                List.of("event=invariant_violated", "event=action_failed", "event=task_failed")) {
            if (output().contains(fault)) {
                throw new AssertionError("a fault of the program: " + output());
            }
        }
    }

    /** A port that is not in use and is not handed out again. */
    public static int freePort() {
        return Ports.next();
    }

    public static Path file(Path dir, String text) throws IOException {
        return Files.writeString(Files.createTempFile(dir, "config", ".txt"), text);
    }

    /** Waits up to ten seconds for a condition. */
    public static void await(String what, BooleanSupplier condition) {
        long deadline = System.nanoTime() + AWAIT_TIMEOUT_NS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("did not come about: " + what);
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
