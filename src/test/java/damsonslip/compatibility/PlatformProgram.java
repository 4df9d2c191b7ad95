package damsonslip.compatibility;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;

/**
 * The real program on the platform, with workers and a discovery service that keep the exact text
 * of each request. Closing it ends all of them.
 */
final class PlatformProgram implements AutoCloseable {
    /** What a worker does with a request. */
    interface Work {
        void handle(Peer peer, String request) throws IOException, InterruptedException;
    }

    private static final int GENERATION = 7;

    /** A watch is sent an empty line that often. */
    private static final long WATCH_PAUSE_MS = 1_000;

    final int port = Program.freePort();
    final int console = Program.freePort();
    final int management = Program.freePort();

    /** Requests that the workers were sent, in order. */
    final List<String> workerRequests = new CopyOnWriteArrayList<>();

    /** Requests that discovery was sent, in order. */
    final List<String> discoveryRequests = new CopyOnWriteArrayList<>();

    private final Path folder;
    private final List<Peer.Server> servers = new ArrayList<>();
    private final List<String> entries = new ArrayList<>();
    private Program program;

    PlatformProgram(Path folder) {
        this.folder = folder;
    }

    /** Answers with the states of a job, where {@code more} is added to the last one. */
    static Work ending(String state, String more) {
        return (peer, request) ->
                peer.answerLines(state(request, "started", ""), state(request, state, more));
    }

    static Work serving() {
        return (peer, request) ->
                ending(
                                "done",
                                ",\"result\":\"result of "
                                        + RawText.header(request, "X-Correlation-Id")
                                        + "\"")
                        .handle(peer, request);
    }

    static Work answering(String head) {
        return (peer, request) -> peer.send(head + "\r\nContent-Length: 0\r\n\r\n");
    }

    static Work silent() {
        return (peer, request) -> peer.closed();
    }

    private static String state(String request, String state, String more) {
        return "{\"id\":\""
                + RawText.header(request, "X-Correlation-Id")
                + "\",\"from\":\"w\",\"state\":\""
                + state
                + "\""
                + more
                + "}";
    }

    /** Adds a worker to the list. */
    PlatformProgram worker(String id, Work work) throws IOException {
        Peer.Server server =
                new Peer.Server(
                        0,
                        peer -> {
                            for (String request = RawText.httpMessage(peer);
                                    !request.endsWith(RawText.CLOSED);
                                    request = RawText.httpMessage(peer)) {
                                workerRequests.add(request);
                                work.handle(peer, request);
                            }
                        });
        servers.add(server);
        entries.add(
                "{\"instanceId\":\""
                        + id
                        + "\",\"hostPort\":\"127.0.0.1:"
                        + server.port()
                        + "\",\"zone\":\"z\",\"machineType\":\"k\",\"cell\":0,"
                        + "\"lifecycle\":\"ready\","
                        + "\"weight\":1.0,\"startedAtMs\":0}");
        return this;
    }

    /** Starts the program, and waits until it has heard the list. */
    PlatformProgram start(UnaryOperator<String> settings) throws IOException {
        return start(
                settings,
                (peer, request) -> {
                    peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                            .chunk(list());
                    while (true) {
                        Thread.sleep(WATCH_PAUSE_MS);
                        peer.chunk("");
                    }
                });
    }

    /** Starts the program with a discovery service that does this. */
    PlatformProgram start(UnaryOperator<String> settings, Work discovery) throws IOException {
        Peer.Server server =
                new Peer.Server(
                        0,
                        peer -> {
                            String request = RawText.httpMessage(peer);
                            discoveryRequests.add(request);
                            discovery.handle(peer, request);
                        });
        servers.add(server);
        Path file = Program.file(folder, settings.apply(configuration(server.port())));
        program =
                new Program(
                                file,
                                Map.of("DAMSONSLIP_CONSOLE", "127.0.0.1:" + console),
                                List.of(),
                                "serve")
                        .awaitOutput("listens on");
        Program.await("the management port answers", () -> manage("READY").startsWith("YES"));
        return this;
    }

    /** Waits until a change of the list has been counted: before, requests are refused early. */
    PlatformProgram awaitList() {
        Program.await("it has heard discovery", () -> console("counters").contains("list_updates"));
        return this;
    }

    String list() {
        return "{\"generation\":"
                + GENERATION
                + ",\"reset\":true,\"instances\":["
                + String.join(",", entries)
                + "]}";
    }

    private String configuration(int discovery) {
        return "{\"mgmt\":\"127.0.0.1:"
                + management
                + "\",\"name\":\"n1\",\"listen\":\"127.0.0.1:"
                + port
                + "\",\"discovery\":\"127.0.0.1:"
                + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":1024},\"known\":"
                + list()
                + ",\"settings\":{\"instances\":1,\"azs\":[\"z\"],\"shapes\":[\"k\"],"
                + "\"registry_mode\":\"on_request\",\"lanes\":["
                + lane("read", "repeatable")
                + ","
                + lane("submit", "once")
                + "],\"limits\":{\"send_cap\":5,\"may_cancel\":true,"
                + "\"conn_idle_s\":20,\"dial_timeout_s\":0.25},"
                + "\"guarantees\":{\"drain_grace_s\":0.5},"
                + "\"specifics\":{\"tells_start\":true}}}";
    }

    private static String lane(String name, String semantics) {
        return "{\"name\":\""
                + name
                + "\",\"aim_s\":0.5,\"hard_limit_s\":5,\"semantics\":\""
                + semantics
                + "\",\"value\":1}";
    }

    /** A request in the form of the protocol, with these lines of further headers. */
    static String request(String id, String jobClass, String timeLeft, String headers) {
        return "POST /api?x=1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Service-Class: "
                + jobClass
                + "\r\nX-Time-Left: "
                + timeLeft
                + "\r\n"
                + headers
                + "Content-Length: 4\r\n\r\nbody";
    }

    /** Sends a request on a connection of its own and gives the answer. */
    String ask(String request) throws IOException {
        try (Peer client = Peer.connect(port)) {
            return RawText.httpMessage(client.send(request));
        }
    }

    /** The whole response of the management port; empty while nothing listens there. */
    String manage(String line) {
        try (Peer caller = Peer.connect(management).send(line + "\n")) {
            return RawText.untilClosed(caller);
        } catch (IOException e) {
            return "";
        }
    }

    /** The console's answer with its end; empty while nothing listens there. */
    String console(String command) {
        StringBuilder answer = new StringBuilder();
        try (Peer caller = Peer.connect(console).send(command + "\n")) {
            String line = RawText.line(caller);
            while (!line.equals(".\n") && !line.endsWith(RawText.CLOSED)) {
                answer.append(line);
                line = RawText.line(caller);
            }
            return answer.append(line).toString();
        } catch (IOException e) {
            return "";
        }
    }

    Program program() {
        return program;
    }

    @Override
    public void close() throws IOException {
        if (program != null) {
            program.close();
        }
        for (Peer.Server server : servers) {
            server.close();
        }
    }
}
