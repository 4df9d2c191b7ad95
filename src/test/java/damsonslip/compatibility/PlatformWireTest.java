package damsonslip.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The platform's protocols: what the program sends to clients, workers and the discovery service,
 * byte for byte.
 */
class PlatformWireTest {
    private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final UnaryOperator<String> UNCHANGED = UnaryOperator.identity();

    @TempDir Path dir;
    private PlatformProgram platform;

    @BeforeEach
    void create() {
        platform = new PlatformProgram(dir);
    }

    @AfterEach
    void close() throws IOException {
        platform.close();
    }

    private Recording recording(String name) {
        return new Recording(name)
                .masking("X-Time-Left: [0-9]+u", "X-Time-Left: <time>u")
                .masking("Retry-After: [0-9]+\\.[0-9]{3}\r", "Retry-After: <seconds>\r")
                .replacing("127.0.0.1:" + platform.port, "<scheduler>");
    }

    private static String request(String id, String jobClass, String timeLeft, String headers) {
        return PlatformProgram.request(id, jobClass, timeLeft, headers);
    }

    private static String request(String id, String jobClass) {
        return request(id, jobClass, "4000m", "Idempotency-Key: k-" + id + "\r\n");
    }

    @Test
    void forwardsRequestsAndAnswersThem() throws Exception {
        platform.addWorker("a", PlatformProgram.succeeding()).start(UNCHANGED).awaitList();
        Recording recording = recording("platform-served");
        Map<String, String> requests = new LinkedHashMap<>();
        requests.put("with a key", request("q1", "submit"));
        requests.put("without a key", request("q2", "read", "4000m", ""));
        requests.put(
                "with every header",
                request(
                        "q3",
                        "read",
                        "4000000u",
                        "X-Repeat: 1\r\n"
                                + "Cookie: other=1; sid=7f3a9c21e0b4d655\r\n"
                                + "X-Facts: slots=2,memory=3\r\n"
                                + "Content-Type: text/plain\r\n"
                                + "Accept: */*\r\n"
                                + "Idempotency-Key: k-q3\r\n"));
        requests.put("without a time", request("q6", "read").replace("X-Time-Left: 4000m\r\n", ""));
        requests.put("asking for a close", request("q4", "read", "4000m", "Connection: close\r\n"));
        requests.put("in HTTP/1.0", request("q5", "read").replace("HTTP/1.1", "HTTP/1.0"));
        for (Map.Entry<String, String> each : requests.entrySet()) {
            recording.add("client, " + each.getKey(), each.getValue());
            String answer = platform.send(each.getValue());
            recording.add(
                    "to the worker",
                    platform.workerRequests.get(platform.workerRequests.size() - 1));
            recording.add("to the client", answer);
        }
        recording.verify();
    }

    @Test
    void answersOnOneConnectionInTurn() throws Exception {
        platform.addWorker("a", PlatformProgram.succeeding()).start(UNCHANGED).awaitList();
        Recording recording = recording("platform-kept-connection");
        try (Peer client = Peer.connect(platform.port)) {
            recording.add("the first", RawText.httpMessage(client.send(request("q1", "read"))));
            recording.add("health", RawText.httpMessage(client.send(HEALTH)));
            String[] parts =
                    request("q2", "read", "4000m", "Expect: 100-continue\r\n")
                            .split("(?<=\r\n\r\n)");
            recording.add("before the body", RawText.httpMessage(client.send(parts[0])));
            recording.add("behind the body", RawText.httpMessage(client.send(parts[1])));
        }
        recording.verify();
    }

    /** After each of these requests the program closes the connection. */
    @Test
    void answersBadRequests() throws Exception {
        platform.addWorker("a", PlatformProgram.succeeding()).start(UNCHANGED).awaitList();
        Recording recording = recording("platform-bad-requests");
        String good = request("q1", "read");
        for (String bad :
                List.of(
                        good.replace("POST", "GET"),
                        good.replace("/api", "/elsewhere"),
                        good.replace("X-Correlation-Id: q1\r\n", ""),
                        good.replace(
                                "X-Correlation-Id: q1",
                                "X-Correlation-Id: q1\r\nX-Correlation-Id: q2"),
                        good.replace("X-Service-Class: read", "X-Service-Class: other"),
                        good.replace("X-Service-Class: read\r\n", ""),
                        good.replace("4000m", "4000"),
                        good.replace("4000m", "soon"),
                        good.replace("X-Correlation-Id: q1", "X-Correlation-Id: \u00e9"),
                        good.replace("Host:", "X-Facts: slots=many\r\nHost:"),
                        good.replace("Content-Length: 4", "Content-Length: four"),
                        good.replace(
                                "Content-Length: 4\r\n\r\nbody", "Content-Length: 70000\r\n\r\n"),
                        good.replace("Host: app.svc\r\n", ""),
                        "nonsense\r\n\r\n",
                        "GET /elsewhere HTTP/1.1\r\nHost: a\r\n\r\n")) {
            recording.add("client", bad);
            try (Peer client = Peer.connect(platform.port).send(bad)) {
                recording.add("answer", RawText.lastHttpMessage(client));
            }
        }
        recording.verify();
    }

    @Test
    void rejectsAnIdThatIsInUse() throws Exception {
        platform.addWorker("a", PlatformProgram.neverAnswering()).start(UNCHANGED).awaitList();
        try (Peer first = Peer.connect(platform.port).send(request("q1", "submit"))) {
            Program.await(
                    "the request is sent to the worker", () -> platform.workerRequests.size() == 1);
            try (Peer other = Peer.connect(platform.port).send(request("q1", "submit"))) {
                recording("platform-id-in-use")
                        .add("answer", RawText.lastHttpMessage(other))
                        .verify();
            }
            first.close();
        }
    }

    @Test
    void answersRequestsThatFail() throws Exception {
        Recording recording = recording("platform-failed");
        Map<String, PlatformProgram.RequestHandler> failures = new LinkedHashMap<>();
        failures.put("failed", PlatformProgram.endingWith("failed", ""));
        failures.put("lost", PlatformProgram.endingWith("lost", ""));
        failures.put("an unknown state", PlatformProgram.endingWith("jumping", ""));
        failures.put("a status of 500", PlatformProgram.answeringWith("HTTP/1.1 500 No"));
        failures.put("a connection that ends", (peer, request) -> peer.close());
        for (Map.Entry<String, PlatformProgram.RequestHandler> failure : failures.entrySet()) {
            Path ownDirectory = Files.createTempDirectory(dir, "scheduler");
            try (PlatformProgram each = new PlatformProgram(ownDirectory)) {
                each.addWorker("a", failure.getValue()).start(UNCHANGED).awaitList();
                recording.add(failure.getKey(), each.send(request("q1", "submit")));
            }
        }
        recording.verify();
    }

    /**
     * The program cancels an attempt by closing its connection to the worker, without sending
     * anything more. It does so when the request times out, and when its client disconnects.
     */
    @Test
    void answersRequestsThatTimeOutAndCancelsTheirAttempts() throws Exception {
        List<String> afterRequests = new CopyOnWriteArrayList<>();
        platform.addWorker("a", (peer, request) -> afterRequests.add(RawText.untilClosed(peer)))
                .start(UNCHANGED)
                .awaitList();
        Recording recording = recording("platform-out-of-time");
        recording.add("out of time", platform.send(request("q1", "submit", "600m", "")));
        Program.await("the attempt is cancelled", () -> afterRequests.size() == 1);
        recording.add("the worker of the cancelled attempt", afterRequests.get(0));
        recording.add("no time left", platform.send(request("q2", "read", "0m", "")));
        try (Peer client = Peer.connect(platform.port).send(request("q3", "submit"))) {
            Program.await(
                    "the request is sent to the worker", () -> platform.workerRequests.size() == 2);
            client.close();
        }
        Program.await("the attempt is cancelled", () -> afterRequests.size() == 2);
        recording.add("the worker of a client that has gone", afterRequests.get(1));
        recording.verify();
    }

    @Test
    void rejectsRequestsBeyondCapacity() throws Exception {
        platform.addWorker("a", PlatformProgram.neverAnswering()).start(UNCHANGED).awaitList();
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            clients.add(Peer.connect(platform.port).send(request("q" + i, "read")));
        }
        Recording recording = recording("platform-throttled");
        recording.add("throttled", platform.send(request("last", "read"))).verify();
        for (Peer client : clients) {
            client.close();
        }
    }

    @Test
    void watchesDiscovery() throws Exception {
        platform.addWorker("a", PlatformProgram.succeeding());
        platform.start(
                UNCHANGED,
                (peer, request) -> {
                    if (platform.discoveryRequests.size() == 1) {
                        peer.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                        return;
                    }
                    peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                            .chunk(platform.list().replace(":7,", ":9,"));
                    Thread.sleep(500); // the connection, and with it the watch, ends after this
                });
        Program.await(
                "four calls of the discovery service",
                () -> platform.discoveryRequests.size() >= 4);
        Recording recording = recording("platform-discovery");
        for (int i = 0; i < 4; i++) {
            recording.add("to discovery", platform.discoveryRequests.get(i));
        }
        recording.verify();
    }

    @Test
    void probesWorkers() throws Exception {
        platform.addWorker(
                        "a",
                        PlatformProgram.answeringWith(
                                "HTTP/1.1 200 OK\r\nX-Backend-Load: TEXT x0=3"))
                .start(
                        file ->
                                file.replace(
                                                "\"may_cancel\":true",
                                                "\"may_cancel\":true,\"may_probe\":true")
                                        .replace(
                                                "\"lanes\"",
                                                "\"reporting\":{\"how\":\"pull\","
                                                        + "\"fields\":[\"x0\"]},"
                                                        + "\"lanes\""));
        Program.await("two probes", () -> platform.workerRequests.size() >= 2);
        recording("platform-probe")
                .add("the first", platform.workerRequests.get(0))
                .add("the second", platform.workerRequests.get(1))
                .verify();
    }

    /**
     * On a graceful shutdown the program asks clients to close their connections, and answers each
     * request in flight before it exits.
     */
    @Test
    void answersWhileItShutsDown() throws Exception {
        platform.addWorker(
                        "a",
                        (peer, request) -> {
                            Thread.sleep(900);
                            PlatformProgram.succeeding().handle(peer, request);
                        })
                .start(UNCHANGED)
                .awaitList();
        Recording recording = recording("platform-shutdown");
        try (Peer early = Peer.connect(platform.port).send(request("q1", "read"));
                Peer persistent = Peer.connect(platform.port).send(HEALTH)) {
            Program.await(
                    "the request is sent to the worker", () -> platform.workerRequests.size() == 1);
            recording.add("health before", RawText.httpMessage(persistent));
            platform.program().terminate();
            Program.await(
                    "the program is draining",
                    () -> platform.sendConsoleCommand("phase").contains("leaving"));
            recording.add("health", platform.send(HEALTH));
            recording.add("the management port", platform.sendManagementCommand("READY"));
            recording.add("a new request", platform.send(request("q2", "read")));
            recording.add(
                    "a request on a kept connection",
                    RawText.lastHttpMessage(persistent.send(request("q3", "read"))));
            recording.add("an earlier request", RawText.lastHttpMessage(early));
        }
        assertEquals(143, platform.program().exit());
        recording.verify();
    }
}
