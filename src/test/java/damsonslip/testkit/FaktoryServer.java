package damsonslip.testkit;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The real program as a Faktory server: started with the operators' own file, in which a test's
 * addresses and settings stand, together with the peers that the test connects. Closing it ends all
 * of them.
 */
public final class FaktoryServer implements AutoCloseable {
    private static final Path OPERATORS_FILE = Path.of("deploy/faktory.toml");

    /** The port where producers and workers connect. */
    public final int port = Program.freePort();

    private final Path dir;
    private final String store;
    private final String password;
    private final String[] replacements;
    private final List<AutoCloseable> open = new ArrayList<>();
    private Program program;

    /**
     * A server that is not started yet.
     *
     * @param dir where its settings are written
     * @param store {@code memory}, or the address of a Redis stand-in
     * @param password what peers have to know; empty for none
     * @param replacements texts of the operators' file, each followed by what stands there instead
     */
    public FaktoryServer(Path dir, String store, String password, String... replacements) {
        this.dir = dir;
        this.store = store;
        this.password = password;
        this.replacements = replacements;
    }

    /** A server without a password that keeps its jobs in this stand-in. */
    public FaktoryServer(Path dir, RedisStandIn redis, String... replacements) {
        this(dir, address(redis), "", replacements);
    }

    /** The store setting that names a stand-in. */
    public static String address(RedisStandIn redis) {
        return "redis://127.0.0.1:" + redis.port;
    }

    /**
     * The operators' file with these addresses and settings; a text to be replaced that it lacks
     * fails the test.
     */
    public static String settings(int port, String store, String... replacements)
            throws IOException {
        String text =
                replace(Files.readString(OPERATORS_FILE), "127.0.0.1:7419", "127.0.0.1:" + port);
        text = replace(text, "redis://127.0.0.1:6379", store);
        for (int i = 0; i < replacements.length; i += 2) {
            text = replace(text, replacements[i], replacements[i + 1]);
        }
        return text;
    }

    private static String replace(String text, String found, String by) {
        if (!text.contains(found)) {
            throw new AssertionError(OPERATORS_FILE + " lacks " + found);
        }
        return text.replace(found, by);
    }

    /** Starts the program, and waits until it has recovered what the store holds. */
    public Program start() throws IOException {
        program = start(port, "school-desk");
        return program;
    }

    /** As {@link #start()}, with additional environment variables. */
    public Program start(Map<String, String> environment) throws IOException {
        program =
                startRecovery(port, "school-desk", environment, List.of())
                        .awaitOutput("taken up from the store");
        return program;
    }

    /** Starts one more scheduler, of another name, on another port, with the same store. */
    public Program start(int at, String name) throws IOException {
        return start(at, name, List.of());
    }

    /** As {@link #start(int, String)}, with additional JVM options. */
    public Program start(int at, String name, List<String> jvmOptions) throws IOException {
        return startRecovery(at, name, Map.of(), jvmOptions).awaitOutput("taken up from the store");
    }

    /** Starts the program, and does not wait for its recovery from the store. */
    public Program startRecovery() throws IOException {
        program =
                startRecovery(port, "school-desk", Map.of(), List.of())
                        .awaitOutput("event=started");
        return program;
    }

    private Program startRecovery(
            int at, String name, Map<String, String> environment, List<String> jvmOptions)
            throws IOException {
        String text = replace(settings(at, store, replacements), "127.0.0.1:7420", "");
        text =
                replace(
                        replace(text, "password = \"\"  ", "password = \"" + password + "\"  "),
                        "\"school-desk\"",
                        "\"" + name + "\"");
        Program started =
                new Program(
                        null, environment, jvmOptions, "serve", Program.file(dir, text).toString());
        return closing(started);
    }

    /** The program that was started last under the server's own name. */
    public Program program() {
        return program;
    }

    /** Kills the program and starts it again. */
    public void killAndStart() throws IOException, InterruptedException {
        program.kill();
        program.exit();
        start();
    }

    /** Connects a worker, or with an empty {@code wid} a producer. */
    public FaktoryPeer peer(String wid) throws IOException {
        return closing(new FaktoryPeer(port, wid, password));
    }

    /** Has something closed together with the server, in the order in which they came. */
    public <C extends AutoCloseable> C closing(C each) {
        open.add(each);
        return each;
    }

    /** Waits until a job is in this state, in the words of TRACK GET. */
    public static void awaitState(FaktoryPeer producer, String jid, String state) {
        Program.await(
                jid + " is " + state,
                () -> {
                    try {
                        return producer.state(jid).equals(state);
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }
}
