package damsonslip.tools.conformance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.tools.faktoryclient.FaktoryClient;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/** The context of one case: its own connections, queue and job ids, and common checks. */
final class Stage implements Closeable {
    /** Time limit for a job to arrive: a server may check for due jobs only every few seconds. */
    private static final long ARRIVAL_LIMIT_MS = 9_000;

    /** Time limit to connect, and for each read of a reply. */
    private static final int TIMEOUT_MS = 8_000;

    /** A difference between the server and the protocol, described by the message. */
    static final class Fault extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Fault(String message) {
            super(message);
        }
    }

    final InetSocketAddress server;
    final String password;
    final String wid;
    final String queue = "conf-" + id();
    private final List<FaktoryClient> open = new ArrayList<>();
    private FaktoryClient producer;
    private FaktoryClient worker;

    Stage(InetSocketAddress server, String password, String wid) {
        this.server = server;
        this.password = password;
        this.wid = wid;
    }

    static String id() {
        return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
    }

    FaktoryClient raw() throws IOException {
        FaktoryClient client = new FaktoryClient(server, "conformance", TIMEOUT_MS, TIMEOUT_MS);
        open.add(client);
        return client;
    }

    FaktoryClient connect(String as) throws IOException {
        FaktoryClient client = raw();
        check(client.hello(as, password).ok(), "HELLO is not answered OK");
        return client;
    }

    FaktoryClient producer() throws IOException {
        producer = producer == null ? connect("") : producer;
        return producer;
    }

    FaktoryClient worker() throws IOException {
        worker = worker == null ? connect(wid) : worker;
        return worker;
    }

    // ---- jobs

    ObjectNode job(String jid) {
        ObjectNode job =
                FaktoryClient.JSON
                        .createObjectNode()
                        .put("jid", jid)
                        .put("jobtype", "Conformance")
                        .put("queue", queue);
        job.putArray("args").add(1);
        return job;
    }

    ObjectNode job() {
        return job(id());
    }

    /** Pushes a job that the server must accept; returns its id. */
    String push(ObjectNode job) throws IOException {
        FaktoryClient.Reply reply = producer().call("PUSH " + job);
        check(reply.ok(), "PUSH is answered " + reply);
        return job.path("jid").asText();
    }

    String push() throws IOException {
        return push(job());
    }

    /**
     * Fetches from the case's own queue until a job arrives; null if none arrives within this time.
     */
    JsonNode fetch(long timeoutMs) throws IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        do {
            FaktoryClient.Reply reply = worker().call("FETCH " + queue);
            check(!reply.error(), "FETCH is answered " + reply);
            if (reply.text() != null) {
                return reply.json();
            }
        } while (System.nanoTime() < end);
        return null;
    }

    /** Fetches a job that must arrive. */
    JsonNode fetch() throws IOException {
        JsonNode job = fetch(ARRIVAL_LIMIT_MS);
        check(job != null, "no job comes from its queue");
        return job;
    }

    void fetch(String jid) throws IOException {
        String got = fetch().path("jid").asText();
        check(jid.equals(got), "job " + jid + " was due, and " + got + " came");
    }

    void checkNoJob() throws IOException {
        JsonNode job = fetch(0);
        check(job == null, "a job comes that must not: " + job);
    }

    void ack(String jid) throws IOException {
        FaktoryClient.Reply reply =
                worker().call("ACK " + FaktoryClient.JSON.createObjectNode().put("jid", jid));
        check(reply.ok(), "ACK is answered " + reply);
    }

    void fail(String jid) throws IOException {
        ObjectNode failure =
                FaktoryClient.JSON
                        .createObjectNode()
                        .put("jid", jid)
                        .put("errtype", "Broken")
                        .put("message", "it broke");
        ArrayNode lines = failure.putArray("backtrace");
        for (int i = 0; i < 10; i++) {
            lines.add("line " + i);
        }
        FaktoryClient.Reply reply = worker().call("FAIL " + failure);
        check(reply.ok(), "FAIL is answered " + reply);
    }

    void mutate(String verb, String target, String filter) throws IOException {
        FaktoryClient.Reply reply =
                producer()
                        .call(
                                "MUTATE {\"cmd\":\""
                                        + verb
                                        + "\",\"target\":\""
                                        + target
                                        + "\""
                                        + (filter.isEmpty() ? "" : ",\"filter\":" + filter)
                                        + "}");
        check(reply.ok(), "MUTATE " + verb + " is answered " + reply);
    }

    static String jids(String... ids) {
        ArrayNode array = FaktoryClient.JSON.createArrayNode();
        for (String id : ids) {
            array.add(id);
        }
        return FaktoryClient.JSON.createObjectNode().set("jids", array).toString();
    }

    JsonNode info() throws IOException {
        FaktoryClient.Reply reply = producer().call("INFO");
        check(!reply.error() && reply.text() != null, "INFO is answered " + reply);
        return reply.json();
    }

    int size(String set) throws IOException {
        JsonNode size = info().path("faktory").path("tasks").path(set).path("size");
        check(size.isInt(), "INFO lacks faktory.tasks." + set + ".size");
        return size.asInt();
    }

    int queued() throws IOException {
        return info().path("faktory").path("queues").path(queue).asInt(0);
    }

    String track(String jid) throws IOException {
        FaktoryClient.Reply reply = producer().call("TRACK GET " + jid);
        check(!reply.error(), "TRACK GET is answered " + reply);
        return reply.json().path("state").asText();
    }

    // ---- checks

    static void check(boolean condition, String what) {
        if (!condition) {
            throw new Fault(what);
        }
    }

    static void equal(Object expected, Object got, String what) {
        check(expected.equals(got), what + ": " + got + ", not " + expected);
    }

    /** Checks that the reply is an error and that the connection stays usable. */
    void rejected(FaktoryClient client, String line, String what) throws IOException {
        FaktoryClient.Reply reply = client.call(line);
        check(reply.error(), what + " is answered " + reply + ", not an error");
        check(!client.call("INFO").error(), "the connection does not go on after " + what);
    }

    @Override
    public void close() throws IOException {
        for (FaktoryClient client : open) {
            client.close();
        }
    }
}
