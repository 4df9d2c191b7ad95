package damsonslip.compatibility;

import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The Faktory protocol: replies and errors, byte for byte except for times and salts. */
class FaktoryWireTest {
    private static final String JOB =
            "PUSH {\"jid\":\"job-00001\",\"jobtype\":\"t\",\"args\":[1],\"queue\":\"default\"}";

    private static final String WITH_DEADLINE =
            ",\"custom\":{\"class\":\"status-read\",\"deadline\":30}}";

    private static final List<String> INVALID_COMMANDS =
            List.of(
                    "PUSH {",
                    "PUSH",
                    "PUSH []",
                    "PUSHB {}",
                    "PUSH {}",
                    "JUMP",
                    "push {}",
                    JOB.replace("job-00001", "short"),
                    JOB.replace("job-00001", "job 00001"),
                    JOB.replace("\"jobtype\":\"t\",", ""),
                    JOB.replace("[1]", "1"),
                    JOB.replace("\"default\"", "\"no name\""),
                    JOB.replace("}", ",\"at\":\"soon\"}"),
                    JOB.replace("}", ",\"custom\":{\"class\":\"no-such\"}}"),
                    JOB.replace("}", ",\"custom\":{\"deadline\":\"soon\"}}"),
                    JOB.replace("}", ",\"custom\":{\"unique_until\":\"later\",\"unique_for\":5}}"),
                    JOB.replace("}", ",\"custom\":{\"bid\":\"b-none\"}}"),
                    "FETCH default",
                    "ACK {\"jid\":\"job-00001\"}",
                    "ACK {}",
                    "FAIL {}",
                    "BEAT {\"wid\":\"w9\"}",
                    "TRACK",
                    "TRACK JUMP x",
                    "TRACK SET {}",
                    "QUEUE PAUSE",
                    "BATCH",
                    "MUTATE {}",
                    JOB.replace("}", ",\"custom\":{\"unique_for\":60}}"),
                    JOB.replace("00001", "00002").replace("}", ",\"custom\":{\"unique_for\":60}}"));

    private static final String HELLO = "HELLO {\"v\":2,\"wid\":\"\"}";

    @TempDir Path dir;
    private FaktoryServer server;
    private Recording recording;

    private void start(String name, String password) throws IOException {
        server = new FaktoryServer(dir, "memory", password);
        server.start();
        recording =
                new Recording(name)
                        .masking("\"s\":\"[0-9a-zA-Z]+\"", "\"s\":\"<salt>\"")
                        .masking("[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]+Z", "<time>")
                        .masking("[0-9]{2}:[0-9]{2}:[0-9]{2} UTC", "<clock>")
                        .masking("\"(uptime|used_memory_mb)\":[0-9]+", "\"$1\":<figure>")
                        .masking("b-[0-9a-f]{16}", "<bid>")
                        .masking("retry after [0-9.]+ s", "retry after <seconds> s");
    }

    @AfterEach
    void close() throws Exception {
        server.close();
    }

    private Peer connect() throws IOException {
        return server.closing(Peer.connect(server.port));
    }

    /** A connection after HELLO; that of a producer if {@code workerId} is empty. */
    private Peer greeted(String workerId) throws IOException {
        Peer peer = connect();
        RawText.line(peer);
        RawText.line(peer.send("HELLO {\"v\":2,\"wid\":\"" + workerId + "\"}\r\n"));
        return peer;
    }

    /** Sends a command and records it with its reply. */
    private void exchange(Peer peer, String command) throws IOException {
        String reply = RawText.line(peer.send(command + "\r\n"));
        if (reply.startsWith("$") && !reply.startsWith("$-")) {
            int length = Integer.parseInt(reply.substring(1).strip());
            // the length varies with the masked parts; the recorded line end shows that it is right
            reply = "$<length>\r\n" + peer.bytes(length + 2);
        }
        recording.add(command, reply);
    }

    @Test
    void greetsWithoutAPassword() throws Exception {
        start("faktory-greeting", "");
        Peer peer = connect();
        recording.add("greeting", RawText.line(peer));
        exchange(peer, HELLO);
        exchange(peer, HELLO);
        for (String wrong : List.of("HELLO {\"v\":3}", "HELLO nonsense", "HELLO", "INFO", "JUMP")) {
            Peer other = connect();
            RawText.line(other);
            recording.add(wrong, RawText.untilClosed(other.send(wrong + "\r\n")));
        }
        recording.verify();
    }

    @Test
    void greetsWithAPassword() throws Exception {
        start("faktory-password", "s3cret");
        Peer peer = connect();
        recording.add("greeting", RawText.line(peer));
        recording.add(
                "a wrong proof",
                RawText.untilClosed(
                        peer.send("HELLO {\"v\":2,\"wid\":\"\",\"pwdhash\":\"00\"}\r\n")));
        recording.add("right proof", server.peer("").call("BATCH STATUS b-none"));
        recording.verify();
    }

    @Test
    void carriesJobsFromPushToAck() throws Exception {
        start("faktory-jobs", "");
        Peer producer = greeted("");
        Peer worker = greeted("w1");
        exchange(producer, "TRACK GET job-00001");
        exchange(producer, JOB);
        exchange(producer, "TRACK GET job-00001");
        exchange(worker, "FETCH default");
        exchange(producer, JOB);
        exchange(worker, "TRACK SET {\"jid\":\"job-00001\",\"percent\":40,\"desc\":\"on it\"}");
        exchange(producer, "TRACK GET job-00001");
        exchange(worker, "BEAT {\"wid\":\"w1\"}");
        exchange(worker, "ACK {\"jid\":\"job-00001\"}");
        exchange(producer, "TRACK GET job-00001");
        exchange(producer, JOB.replace("00001", "00002").replace("}", ",\"retry\":0}"));
        exchange(worker, "FETCH default");
        exchange(
                worker,
                "FAIL {\"jid\":\"job-00002\",\"errtype\":\"E\",\"message\":\"m\","
                        + "\"backtrace\":[\"line\"]}");
        exchange(producer, "TRACK GET job-00002");
        exchange(worker, "ACK {\"jid\":\"job-99999\"}");
        exchange(worker, "FETCH other");
        exchange(producer, "PUSHB []");
        exchange(
                producer,
                "PUSHB [{\"jid\":\"job-00003\",\"jobtype\":\"t\",\"args\":[]},"
                    + "{\"jid\":\"job-00004\"},{\"jid\":\"short\",\"jobtype\":\"t\",\"args\":[]}]");
        exchange(producer, "INFO");
        recording.verify();
    }

    @Test
    void handlesManagementCommands() throws Exception {
        start("faktory-management", "");
        Peer producer = greeted("");
        exchange(producer, "INFO");
        exchange(producer, JOB.replace("}", ",\"at\":\"2099-01-01T00:00:00Z\"}"));
        exchange(producer, "MUTATE {\"cmd\":\"kill\",\"target\":\"scheduled\",\"filter\":{}}");
        exchange(producer, "MUTATE {\"cmd\":\"jump\",\"target\":\"scheduled\"}");
        exchange(producer, "MUTATE {\"cmd\":\"clear\",\"target\":\"elsewhere\"}");
        exchange(producer, "QUEUE PAUSE default");
        exchange(producer, "INFO");
        exchange(producer, "QUEUE RESUME default");
        exchange(producer, "QUEUE JUMP default");
        exchange(
                producer,
                "BATCH NEW {\"description\":\"d\",\"success\":{\"jobtype\":\"t\","
                        + "\"args\":[],\"queue\":\"default\"}}");
        exchange(producer, "BATCH NEW {}");
        exchange(producer, "BATCH OPEN b-none");
        exchange(producer, "BATCH COMMIT b-none");
        exchange(producer, "BATCH JUMP b-none");
        exchange(producer, "FLUSH");
        recording.add("END", RawText.untilClosed(producer.send("END\r\n")));
        recording.verify();
    }

    @Test
    void reportsCommonErrors() throws Exception {
        start("faktory-errors", "");
        Peer producer = greeted("");
        for (String wrong : INVALID_COMMANDS) {
            exchange(producer, wrong);
        }
        recording.verify();
    }

    /**
     * Awaited jobs that cannot complete within their deadline are rejected with the time to wait
     * before a retry.
     */
    @Test
    void rejectsJobsBeyondCapacity() throws Exception {
        start("faktory-throttled", "");
        Peer producer = greeted("");
        String reply = "";
        for (int i = 10; i < 99 && !reply.startsWith("-"); i++) {
            reply =
                    RawText.line(
                            producer.send(
                                    JOB.replace("job-00001", "job-000" + i)
                                                    .replace("}", WITH_DEADLINE)
                                            + "\r\n"));
        }
        recording.add("throttled", reply).verify();
    }

    @Test
    void shutsDown() throws Exception {
        start("faktory-shutdown", "");
        Peer producer = greeted("");
        Peer worker = greeted("w1");
        exchange(
                producer,
                JOB.replace("}", ",\"custom\":{\"class\":\"apply-submit\",\"deadline\":5}}"));
        exchange(worker, "FETCH default");
        server.program().terminate();
        Program.await(
                "pushes are rejected because the server shuts down",
                () -> {
                    try {
                        return RawText.line(producer.send("PUSH {}\r\n")).startsWith("-SHUTDOWN");
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
        exchange(producer, JOB);
        exchange(worker, "BEAT {\"wid\":\"w1\"}");
        exchange(worker, "ACK {\"jid\":\"job-00001\"}");
        recording.add("exit", Integer.toString(server.program().exit()));
        recording.verify();
    }
}
