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

/** The real program as a process of its own, started as an operator would start it. */
public final class Program implements AutoCloseable {
    /** The system tells sizes in KB. */
    private static final int KB = 1_024;

    private static final long AWAIT_NS = TimeUnit.SECONDS.toNanos(10);
    private static final long LOOK_MS = 5;

    /** Within this time a JVM has written what its threads do. */
    private static final long THREADS_MS = 500;

    private final Path config;
    private final Process process;
    private final StringBuilder said = new StringBuilder();
    private final Thread reader;
    private String lastWord;
    private boolean standing;

    public Program(Path config, String... args) throws IOException {
        this(config, List.of(), args);
    }

    /** The same with more words for the JVM. */
    public Program(Path config, List<String> more, String... args) throws IOException {
        this(config, Map.of(), more, args);
    }

    /** The same with more in its environment. */
    public Program(Path config, Map<String, String> environment, List<String> more, String... args)
            throws IOException {
        this(config, environment, more, 0, args);
    }

    /**
     * The same where the system gives it so many KB of memory of its own at the most; 0: no limit.
     */
    public Program(
            Path config,
            Map<String, String> environment,
            List<String> more,
            int mostKb,
            String... args)
            throws IOException {
        this(config, environment, command(more, mostKb > 0 ? "-d " + mostKb : "", args));
    }

    /** The program where the system lets it hold so many file descriptors at the most. */
    public static Program withDescriptors(Path config, int most, String... args)
            throws IOException {
        return new Program(config, Map.of(), command(List.of(), "-n " + most, args));
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
        reader = new Thread(this::read, "program's words");
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
    private static List<String> command(List<String> more, String limit, String... args) {
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
        command.addAll(1, more);
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
                synchronized (said) {
                    said.append(line).append('\n');
                    standing = lastWord != null && line.contains(lastWord);
                    while (lastWord != null && standing) {
                        said.wait();
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
     * Reads what it says up to this word, until {@link #readOn}: its thread that goes on to say
     * more than a pipe holds stands still, in the middle of whatever it does.
     */
    public void readUntil(String word) {
        synchronized (said) {
            lastWord = word;
        }
    }

    /** Whether it has said that word, and nothing is read. */
    public boolean isUnread() {
        synchronized (said) {
            return standing;
        }
    }

    public void readOn() {
        synchronized (said) {
            lastWord = null;
            standing = false;
            said.notifyAll();
        }
    }

    public String said() {
        synchronized (said) {
            return said.toString();
        }
    }

    /**
     * Waits until it has said this; one that ends without it, or says it too late, fails with all
     * that it has said.
     */
    public Program awaitWord(String word) {
        return await("it says '" + word + "'", () -> said().contains(word), this);
    }

    /** Waits for something that this program has to bring about. */
    public static Program await(String what, BooleanSupplier holds, Program program) {
        long end = System.nanoTime() + AWAIT_NS;
        while (!holds.getAsBoolean()) {
            if (program.hasEnded() && !holds.getAsBoolean()) {
                throw new AssertionError(
                        "the program ended before " + what + ": " + program.said());
            }
            if (System.nanoTime() > end) {
                throw new AssertionError(
                        "did not come about: "
                                + what
                                + "; the program: "
                                + program.saidWithThreads());
            }
            pause();
        }
        return program;
    }

    /** Whether it has ended and all that it said is read. */
    private boolean hasEnded() {
        return !process.isAlive() && !reader.isAlive();
    }

    /** What it has said, and behind that what each of its threads does. */
    private String saidWithThreads() {
        try {
            signal("QUIT"); // the JVM answers with the stacks of its threads
            Thread.sleep(THREADS_MS);
        } catch (IOException | InterruptedException e) {
            return said() + e;
        }
        return said();
    }

    /** Replaces its configuration, where a text is given, and has it read again. */
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

    /** Asks it to end, as a planned restart does, and goes on. */
    public void terminate() {
        process.toHandle().destroy(); // Process.destroy would close its output as well
    }

    public void kill() {
        process.destroyForcibly();
    }

    /** How many sockets it has open, as the system counts them. */
    public int sockets() {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return (int) open.filter(Program::isSocket).count();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** What it has in memory. */
    public long residentMb() throws IOException {
        return status("VmRSS:") / KB;
    }

    /** The most that it has had in memory. */
    public long mostResidentMb() throws IOException {
        return status("VmHWM:") / KB;
    }

    /** How many threads it has now. */
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

    /** Processor time that it has used. */
    public Duration cpuTime() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    private static boolean isSocket(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString().startsWith("socket:");
        } catch (IOException e) {
            return false; // closed meanwhile
        }
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for its exit. */
    public int exit() throws InterruptedException {
        return exit(20);
    }

    public int exit(long seconds) throws InterruptedException {
        if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
            throw new AssertionError("still running: " + said());
        }
        reader.join();
        return process.exitValue();
    }

    @Override
    public void close() {
        readOn();
        process.destroyForcibly();
        for (String fault :
                List.of("event=invariant_violated", "event=action_failed", "event=task_failed")) {
            if (said().contains(fault)) {
                throw new AssertionError("a fault of the program: " + said());
            }
        }
    }

    /** A port where nobody listens, and that nobody else is given. */
    public static int freePort() {
        return Ports.next();
    }

    public static Path file(Path dir, String text) throws IOException {
        return Files.writeString(Files.createTempFile(dir, "config", ".txt"), text);
    }

    /** Waits for something that has to come about within ten seconds. */
    public static void await(String what, BooleanSupplier holds) {
        long end = System.nanoTime() + AWAIT_NS;
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("did not come about: " + what);
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(LOOK_MS);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
