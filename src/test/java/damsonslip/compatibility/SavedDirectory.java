package damsonslip.compatibility;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Peer.Message;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Runs the real program as a scheduler of the platform, with a shared directory in which a test
 * places saved files, two workers, and a discovery service that reports no changes.
 */
final class SavedDirectory implements AutoCloseable {
    static final Path SAVED = Path.of("src/test/resources/compatibility/stored");
    private static final int CHUNK_INTERVAL_MS = 500;

    final int port = Program.freePort();
    final int management = Program.freePort();
    private final Path directory;
    private final Map<String, List<String>> requests = new ConcurrentHashMap<>();
    private final List<AutoCloseable> open = new ArrayList<>();

    SavedDirectory(Path directory) {
        this.directory = directory;
    }

    static String saved(String name) throws IOException {
        return Files.readString(SAVED.resolve(name));
    }

    /** The path of a file in the shared directory. */
    Path path(String name) {
        return directory.resolve(name);
    }

    /** Starts the program with the saved list of workers and waits until it serves. */
    Program startServing() throws IOException {
        return start(discovery(true)).awaitOutput("listens on");
    }

    /** Starts the program with a discovery service that accepts connections and never replies. */
    Program startWithoutDiscovery() throws IOException {
        return start(discovery(false));
    }

    private Program start(Peer.Server discovery) throws IOException {
        String known =
                saved("known-workers.json")
                        .replace("PORT-A", port(worker("worker-a")))
                        .replace("PORT-B", port(worker("worker-b")));
        String config =
                saved("config.json")
                        .replace("PORT-LISTEN", Integer.toString(port))
                        .replace("PORT-MANAGEMENT", Integer.toString(management))
                        .replace("PORT-DISCOVERY", port(discovery))
                        .replace("KNOWN-WORKERS", known.strip());
        Program program = new Program(Program.file(directory, config), "serve");
        open.add(0, program);
        return program;
    }

    private static String port(Peer.Server server) {
        return Integer.toString(server.port());
    }

    private Peer.Server discovery(boolean replies) throws IOException {
        return server(
                peer -> {
                    peer.message();
                    if (replies) {
                        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                                .chunk("{\"generation\":7,\"reset\":false,\"instances\":[]}");
                    }
                    while (true) {
                        Thread.sleep(CHUNK_INTERVAL_MS);
                        if (replies) {
                            peer.chunk("");
                        }
                    }
                });
    }

    private Peer.Server worker(String id) throws IOException {
        List<String> received = requests.computeIfAbsent(id, w -> new CopyOnWriteArrayList<>());
        return server(
                peer -> {
                    while (true) {
                        Message job = peer.message();
                        String jobId = String.valueOf(job.field("X-Correlation-Id"));
                        received.add(jobId);
                        String head =
                                "{\"id\":\"" + jobId + "\",\"from\":\"" + id + "\",\"state\":\"";
                        peer.answerLines(
                                head + "started\"}", head + "done\",\"result\":\"" + id + "\"}");
                    }
                });
    }

    private Peer.Server server(Peer.Handler handler) throws IOException {
        Peer.Server server = new Peer.Server(0, handler);
        open.add(server);
        return server;
    }

    /** Sends a request and returns the reply. */
    Message request(String id) throws IOException {
        try (Peer client = Peer.connect(port)) {
            return client.send(
                            "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: "
                                    + id
                                    + "\r\n"
                                    + "X-Service-Class: read\r\n"
                                    + "X-Time-Left: 4000m\r\n"
                                    + "Idempotency-Key: k-"
                                    + id
                                    + "\r\nContent-Length: 4\r\n\r\nbody")
                    .message();
        }
    }

    /** The requests with this prefix that a worker has received. */
    long received(String worker, String prefix) {
        return requests.get(worker).stream().filter(id -> id.startsWith(prefix)).count();
    }

    /** The complete reply to a management command; empty if the connection fails. */
    String command(String line) {
        try (Peer caller = Peer.connect(management).send(line + "\n")) {
            StringBuilder reply = new StringBuilder();
            for (String next = caller.line(); next != null; next = caller.line()) {
                reply.append(next).append('\n');
            }
            return reply.toString();
        } catch (IOException e) {
            return "";
        }
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
    }
}
