package damsonslip.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** A producer or a worker of the Faktory protocol, from its public description. */
public final class FaktoryPeer implements Closeable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final Peer peer;

    /** Connects and says hello; an empty {@code wid} makes a producer. */
    public FaktoryPeer(int port, String wid, String password) throws IOException {
        peer = Peer.connect(port);
        JsonNode hi = JSON.readTree(peer.line().substring("+HI ".length()));
        String proof =
                hi.has("s") ? hash(password + hi.path("s").asText(), hi.path("i").asInt()) : "";
        String hello =
                call(
                        "HELLO {\"v\":2,\"wid\":\""
                                + wid
                                + "\",\"pwdhash\":\""
                                + proof
                                + "\",\"labels\":[]}");
        if (!"+OK".equals(hello)) {
            throw new IOException(hello);
        }
    }

    private static String hash(String text, int rounds) {
        try {
            byte[] hash = text.getBytes(StandardCharsets.UTF_8);
            for (int i = 0; i < rounds; i++) {
                hash = MessageDigest.getInstance("SHA-256").digest(hash);
            }
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Says a line and gives the reply: with its mark where simple, its content where bulk, null
     * where nothing.
     */
    public String call(String line) throws IOException {
        peer.send(line + "\r\n");
        String first = peer.line();
        if (first == null || !first.startsWith("$")) {
            return first;
        }
        int length = Integer.parseInt(first.substring(1));
        if (length < 0) {
            return null;
        }
        String text = peer.bytes(length);
        peer.line();
        return text;
    }

    public String push(String jid, String jobClass, double deadlineS, String more)
            throws IOException {
        return call(
                "PUSH {\"jid\":\""
                        + jid
                        + "\",\"jobtype\":\"t\",\"args\":[1],\"custom\":{\"class\":\""
                        + jobClass
                        + "\",\"deadline\":"
                        + deadlineS
                        + "}"
                        + more
                        + "}");
    }

    /** Waits for a job up to the protocol's two seconds; gives its id, or null. */
    public String fetch() throws IOException {
        String job = call("FETCH default");
        return job == null ? null : JSON.readTree(job).path("jid").asText();
    }

    /** Pushes a job that nobody waits for. */
    public String plain(String jid, String more) throws IOException {
        return call("PUSH {\"jid\":\"" + jid + "\",\"jobtype\":\"t\",\"args\":[1]" + more + "}");
    }

    /** Waits for a job from a queue up to this long; gives its id, or null. */
    public String fetch(String queue, long patienceMs) throws IOException {
        long end = System.nanoTime() + patienceMs * 1_000_000;
        String job;
        do {
            job = call("FETCH " + queue);
        } while (job == null && System.nanoTime() < end);
        return job == null ? null : JSON.readTree(job).path("jid").asText();
    }

    /** The size of one of the sets of INFO. */
    public int size(String set) throws IOException {
        return info().path("faktory").path("tasks").path(set).path("size").asInt(-1);
    }

    /** What is told of a job. */
    public JsonNode track(String jid) throws IOException {
        return JSON.readTree(call("TRACK GET " + jid));
    }

    public String mutate(String verb, String target, String... jids) throws IOException {
        return call(
                "MUTATE {\"cmd\":\""
                        + verb
                        + "\",\"target\":\""
                        + target
                        + "\",\"filter\":{\"jids\":[\""
                        + String.join("\",\"", jids)
                        + "\"]}}");
    }

    /** The connection itself, for what is not in order. */
    public Peer peer() {
        return peer;
    }

    public String ack(String jid) throws IOException {
        return call("ACK {\"jid\":\"" + jid + "\"}");
    }

    public String fail(String jid) throws IOException {
        return call("FAIL {\"jid\":\"" + jid + "\",\"errtype\":\"E\",\"message\":\"m\"}");
    }

    public String state(String jid) throws IOException {
        return JSON.readTree(call("TRACK GET " + jid)).path("state").asText();
    }

    public JsonNode info() throws IOException {
        return JSON.readTree(call("INFO"));
    }

    @Override
    public void close() throws IOException {
        peer.close();
    }
}
