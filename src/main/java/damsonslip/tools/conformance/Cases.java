package damsonslip.tools.conformance;

import static damsonslip.tools.conformance.Stage.check;
import static damsonslip.tools.conformance.Stage.equal;
import static damsonslip.tools.conformance.Stage.id;
import static damsonslip.tools.conformance.Stage.jids;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.tools.faktoryclient.FaktoryClient;
import java.io.IOException;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** The conformance cases. The name of each case states the rule of the protocol that it checks. */
final class Cases {
    /** The steps and checks of a case. */
    interface Script {
        void run(Stage stage) throws IOException, InterruptedException;
    }

    /**
     * A case.
     *
     * @param group part of the protocol, as given by {@code --only}
     * @param name rule of the protocol
     * @param destructive whether the case deletes data of other clients of the server
     * @param script steps and checks
     */
    record Case(String group, String name, boolean destructive, Script script) {}

    private final List<Case> all = new ArrayList<>();
    private String group;

    private Cases() {}

    static List<Case> all() {
        Cases cases = new Cases();
        cases.handshake();
        cases.push();
        cases.pushLimitsAndOrder();
        cases.fetch();
        cases.ackAndFail();
        cases.retryLimits();
        cases.scheduled();
        cases.mutate();
        cases.queues();
        cases.beats();
        cases.info();
        cases.track();
        cases.unique();
        cases.batches();
        cases.batchStates();
        cases.flush();
        return cases.all;
    }

    private void add(String name, Script script) {
        all.add(new Case(group, name, false, script));
    }

    private void addDestructive(String name, Script script) {
        all.add(new Case(group, name, true, script));
    }

    private void handshake() {
        group = "handshake";
        add(
                "the greeting is HI with version 2",
                stage -> {
                    String greeting = stage.raw().greeting();
                    check(
                            greeting != null && greeting.startsWith("HI {"),
                            "the greeting is " + greeting);
                    equal(
                            2,
                            FaktoryClient.JSON.readTree(greeting.substring(3)).path("v").asInt(),
                            "version");
                });
        add(
                "HELLO comes first",
                stage -> {
                    FaktoryClient client = stage.raw();
                    try {
                        check(client.call("INFO").error(), "INFO before HELLO is answered");
                    } catch (IOException e) {
                        return; // closing the connection is allowed too
                    }
                });
        add(
                "a wrong password is refused",
                stage -> {
                    FaktoryClient client = stage.raw();
                    if (!client.greeting().contains("\"s\"")) {
                        return; // this server needs no password
                    }
                    check(
                            client.hello("", stage.password + "x").error(),
                            "a wrong password is let in");
                });
        add(
                "an unknown command is an error, and the connection goes on",
                stage -> stage.rejected(stage.producer(), "JUMP high", "an unknown command"));
        add(
                "what is not JSON is an error, and the connection goes on",
                stage -> stage.rejected(stage.producer(), "PUSH {\"jid\":", "half an object"));
        add(
                "commands sent ahead are answered in their order",
                stage -> {
                    FaktoryClient client = stage.producer();
                    client.send("PUSH " + stage.job());
                    client.send("JUMP");
                    client.send("INFO");
                    check(client.read().ok(), "the first of three is not answered OK");
                    check(client.read().error(), "the second is no error");
                    check(client.read().text().startsWith("{"), "the third is no object");
                });
        add(
                "END ends the connection",
                stage -> {
                    FaktoryClient client = stage.connect("");
                    client.send("END");
                    check(client.ended(), "the connection stays open after END");
                });
    }

    private void push() {
        group = "push";
        add(
                "a plain job comes to a worker as it was",
                stage -> {
                    ObjectNode job = stage.job();
                    job.putArray("args")
                            .add("tekst ü \n \"q\" 🚲")
                            .add(7)
                            .addNull()
                            .add(1.10)
                            .addObject()
                            .put("a", true);
                    stage.push(job);
                    JsonNode got = stage.fetch();
                    for (String field : List.of("jid", "jobtype", "queue")) {
                        equal(job.path(field), got.path(field), field);
                    }
                    equal(job.path("args").toString(), got.path("args").toString(), "args");
                    stage.ack(got.path("jid").asText());
                });
        add(
                "unknown fields and custom reach the worker untouched",
                stage -> {
                    ObjectNode job = stage.job().put("of_ours", 12345678901234L);
                    job.putObject("custom").put("trace", "t-1").putArray("list").add(1).add("x");
                    stage.push(job);
                    JsonNode got = stage.fetch();
                    equal(job.path("custom").toString(), got.path("custom").toString(), "custom");
                    equal(12345678901234L, got.path("of_ours").asLong(), "an unknown field");
                });
        add(
                "created_at and enqueued_at are times",
                stage -> {
                    stage.push();
                    JsonNode got = stage.fetch();
                    for (String field : List.of("created_at", "enqueued_at")) {
                        check(got.path(field).isTextual(), field + " is missing");
                        OffsetDateTime.parse(got.path(field).asText());
                    }
                });
    }

    private void pushLimitsAndOrder() {
        add(
                "a job without a queue goes to default",
                stage -> {
                    ObjectNode job = stage.job();
                    job.remove("queue");
                    int before = stage.info().path("faktory").path("default_size").asInt();
                    stage.push(job);
                    check(
                            stage.info().path("faktory").path("default_size").asInt() > before,
                            "default_size does not grow");
                });
        add(
                "what lacks jid, jobtype or args, or has a short jid, is refused",
                stage -> {
                    for (String field : List.of("jid", "jobtype", "args")) {
                        ObjectNode job = stage.job();
                        job.remove(field);
                        stage.rejected(stage.producer(), "PUSH " + job, "a job without " + field);
                    }
                    stage.rejected(stage.producer(), "PUSH " + stage.job("short"), "a short jid");
                });
        add(
                "a job of 100 KB is taken",
                stage -> {
                    ObjectNode job = stage.job();
                    job.putArray("args").add("x".repeat(100_000));
                    stage.push(job);
                    equal(100_000, stage.fetch().path("args").path(0).asText().length(), "length");
                });
        add(
                "jobs of one queue come in their order",
                stage -> {
                    List<String> ids = new ArrayList<>();
                    for (int i = 0; i < 5; i++) {
                        ids.add(stage.push());
                    }
                    for (String id : ids) {
                        stage.fetch(id);
                        stage.ack(id);
                    }
                });
        add(
                "a higher priority comes first",
                stage -> {
                    String low = stage.push(stage.job().put("priority", 2));
                    String high = stage.push(stage.job().put("priority", 8));
                    stage.fetch(high);
                    stage.ack(high);
                    stage.fetch(low);
                });
        add(
                "PUSHB takes several, and names only those it refuses",
                stage -> {
                    ObjectNode bad = stage.job();
                    bad.remove("jobtype");
                    ObjectNode one = stage.job();
                    ObjectNode two = stage.job();
                    FaktoryClient.Reply reply =
                            stage.producer().call("PUSHB [" + one + "," + bad + "," + two + "]");
                    check(!reply.error() && reply.text() != null, "PUSHB is answered " + reply);
                    equal(1, reply.json().size(), "jobs refused");
                    check(
                            reply.json().has(bad.path("jid").asText()),
                            "the wrong one is named: " + reply.text());
                    Set<String> arrived = new TreeSet<>();
                    for (int i = 0; i < 2; i++) {
                        String jid = stage.fetch().path("jid").asText();
                        arrived.add(jid);
                        stage.ack(jid);
                    }
                    equal(
                            new TreeSet<>(
                                    List.of(one.path("jid").asText(), two.path("jid").asText())),
                            arrived,
                            "jobs taken");
                });
    }

    private void fetch() {
        group = "fetch";
        add(
                "an empty queue is answered with nothing after about two seconds",
                stage -> {
                    long from = System.nanoTime();
                    stage.checkNoJob();
                    long ms = (System.nanoTime() - from) / 1_000_000;
                    check(ms > 1_000 && ms < 4_000, "after " + ms + " ms");
                });
        add(
                "a FETCH that waits gets a job as it comes",
                stage -> {
                    stage.worker().send("FETCH " + stage.queue);
                    Thread.sleep(300);
                    String jid = stage.push();
                    equal(jid, stage.worker().read().json().path("jid").asText(), "job");
                });
        add(
                "its queues are looked at in its own order",
                stage -> {
                    String first = stage.push(stage.job().put("queue", stage.queue + "-b"));
                    String second = stage.push(stage.job().put("queue", stage.queue + "-a"));
                    JsonNode got =
                            stage.worker()
                                    .call("FETCH " + stage.queue + "-a " + stage.queue + "-b")
                                    .json();
                    equal(second, got.path("jid").asText(), "job");
                    stage.ack(second);
                    got =
                            stage.worker()
                                    .call("FETCH " + stage.queue + "-a " + stage.queue + "-b")
                                    .json();
                    equal(first, got.path("jid").asText(), "job");
                });
        add(
                "a job is given to one worker only",
                stage -> {
                    stage.push();
                    FaktoryClient one = stage.connect(stage.wid);
                    FaktoryClient two = stage.connect(stage.wid);
                    one.send("FETCH " + stage.queue);
                    two.send("FETCH " + stage.queue);
                    int got =
                            (one.read().text() == null ? 0 : 1)
                                    + (two.read().text() == null ? 0 : 1);
                    equal(1, got, "workers that got it");
                });
        add(
                "a producer may not fetch, or is told that it is none",
                stage -> {
                    FaktoryClient.Reply reply = stage.producer().call("FETCH " + stage.queue);
                    check(reply.error() || reply.text() == null, "a producer gets " + reply);
                });
    }

    private void ackAndFail() {
        group = "ack and fail";
        add(
                "ACK ends a job and is counted",
                stage -> {
                    int before = stage.info().path("faktory").path("total_processed").asInt();
                    String jid = stage.push();
                    stage.fetch(jid);
                    stage.ack(jid);
                    check(
                            stage.info().path("faktory").path("total_processed").asInt() > before,
                            "total_processed stays");
                    stage.checkNoJob();
                });
        add(
                "ACK of an unknown job does no harm",
                stage -> {
                    stage.worker().call("ACK {\"jid\":\"no-such-job-" + id() + "\"}");
                    check(!stage.worker().call("INFO").error(), "the connection does not go on");
                });
        add(
                "a second ACK, and a FAIL after it, change nothing",
                stage -> {
                    String jid = stage.push();
                    stage.fetch(jid);
                    stage.ack(jid);
                    int retries = stage.size("Retries");
                    stage.worker().call("ACK {\"jid\":\"" + jid + "\"}");
                    stage.worker()
                            .call(
                                    "FAIL {\"jid\":\""
                                            + jid
                                            + "\",\"errtype\":\"E\",\"message\":\"m\"}");
                    equal(retries, stage.size("Retries"), "retries");
                });
        add(
                "FAIL brings a job among the retries, not back at once",
                stage -> {
                    int before = stage.size("Retries");
                    String jid = stage.push();
                    stage.fetch(jid);
                    stage.fail(jid);
                    equal(before + 1, stage.size("Retries"), "retries");
                    stage.checkNoJob();
                });
        add(
                "a retried job tells how it failed, with as much backtrace as it asked for",
                stage -> {
                    String jid = stage.push(stage.job().put("backtrace", 3).put("retry", 5));
                    stage.fetch(jid);
                    stage.fail(jid);
                    stage.mutate("requeue", "retries", jids(jid));
                    JsonNode failure = stage.fetch().path("failure");
                    equal("Broken", failure.path("errtype").asText(), "errtype");
                    equal("it broke", failure.path("message").asText(), "message");
                    equal(0, failure.path("retry_count").asInt(-1), "retry_count");
                    equal(3, failure.path("backtrace").size(), "lines of backtrace");
                    OffsetDateTime.parse(failure.path("failed_at").asText());
                    stage.fail(jid);
                    stage.mutate("requeue", "retries", jids(jid));
                    equal(
                            1,
                            stage.fetch().path("failure").path("retry_count").asInt(-1),
                            "retry_count after two");
                });
    }

    private void retryLimits() {
        add(
                "retry 0 throws a failed job away",
                stage -> {
                    int retries = stage.size("Retries");
                    int dead = stage.size("Dead");
                    String jid = stage.push(stage.job().put("retry", 0));
                    stage.fetch(jid);
                    stage.fail(jid);
                    equal(retries, stage.size("Retries"), "retries");
                    equal(dead, stage.size("Dead"), "dead");
                });
        add(
                "retry -1 sends a failed job straight to the dead",
                stage -> {
                    int dead = stage.size("Dead");
                    String jid = stage.push(stage.job().put("retry", -1));
                    stage.fetch(jid);
                    stage.fail(jid);
                    equal(dead + 1, stage.size("Dead"), "dead");
                });
        add(
                "a job whose retries are used up is dead",
                stage -> {
                    int dead = stage.size("Dead");
                    String jid = stage.push(stage.job().put("retry", 1));
                    stage.fetch(jid);
                    stage.fail(jid);
                    stage.mutate("requeue", "retries", jids(jid));
                    stage.fetch(jid);
                    stage.fail(jid);
                    equal(dead + 1, stage.size("Dead"), "dead");
                });
    }

    private static String in(long ms, ZoneOffset offset) {
        return Instant.now().plusMillis(ms).atOffset(offset).toString();
    }

    private void scheduled() {
        group = "scheduled";
        add(
                "a job for later is scheduled, and comes when it is due",
                stage -> {
                    int before = stage.size("Scheduled");
                    String jid = stage.push(stage.job().put("at", in(1_500, ZoneOffset.UTC)));
                    equal(before + 1, stage.size("Scheduled"), "scheduled");
                    long from = System.nanoTime();
                    stage.fetch(jid);
                    check(System.nanoTime() - from > 1_000_000_000L, "it comes too early");
                });
        add(
                "at may have any offset and fraction",
                stage -> {
                    String east =
                            stage.push(
                                    stage.job()
                                            .put(
                                                    "at",
                                                    in(1_000, ZoneOffset.ofHoursMinutes(5, 45))));
                    stage.fetch(east);
                    stage.ack(east);
                    String nanos =
                            Instant.now()
                                    .plusSeconds(1)
                                    .toString()
                                    .replaceAll("\\.?\\d*Z$", ".123456789-00:00");
                    stage.push(stage.job().put("at", nanos));
                    stage.fetch();
                });
        add(
                "at in the past is at once",
                stage -> {
                    int before = stage.size("Scheduled");
                    String jid = stage.push(stage.job().put("at", in(-60_000, ZoneOffset.UTC)));
                    equal(before, stage.size("Scheduled"), "scheduled");
                    stage.fetch(jid);
                });
        add(
                "at that is no time is refused",
                stage ->
                        stage.rejected(
                                stage.producer(),
                                "PUSH " + stage.job().put("at", "tomorrow"),
                                "at: tomorrow"));
        add(
                "a job that has expired does not come",
                stage -> {
                    ObjectNode job = stage.job();
                    job.putObject("custom").put("expires_at", in(-1_000, ZoneOffset.UTC));
                    stage.push(job);
                    stage.checkNoJob();
                });
    }

    private ObjectNode later(Stage stage) {
        return stage.job().put("at", in(3_600_000, ZoneOffset.UTC));
    }

    private void mutate() {
        group = "mutate";
        add(
                "requeue brings a scheduled job at once",
                stage -> {
                    String jid = stage.push(later(stage));
                    stage.mutate("requeue", "scheduled", jids(jid));
                    stage.fetch(jid);
                });
        add(
                "kill brings a scheduled job among the dead, and requeue back from there",
                stage -> {
                    int dead = stage.size("Dead");
                    String jid = stage.push(later(stage));
                    stage.mutate("kill", "scheduled", jids(jid));
                    equal(dead + 1, stage.size("Dead"), "dead");
                    stage.mutate("requeue", "dead", jids(jid));
                    equal(dead, stage.size("Dead"), "dead");
                    stage.fetch(jid);
                });
        add(
                "discard throws away what has a jobtype, and nothing else",
                stage -> {
                    int before = stage.size("Scheduled");
                    String type = "Type" + id();
                    stage.push(later(stage).put("jobtype", type));
                    stage.push(later(stage).put("jobtype", type));
                    stage.push(later(stage));
                    stage.mutate("discard", "scheduled", "{\"jobtype\":\"" + type + "\"}");
                    equal(before + 1, stage.size("Scheduled"), "scheduled");
                });
        add(
                "a glob goes over the whole job",
                stage -> {
                    int before = stage.size("Scheduled");
                    String mark = "mark-" + id();
                    ObjectNode marked = later(stage);
                    marked.putArray("args").add(mark + "*x");
                    stage.push(marked);
                    stage.push(later(stage));
                    stage.mutate("discard", "scheduled", "{\"regexp\":\"*no-" + mark + "*\"}");
                    equal(
                            before + 2,
                            stage.size("Scheduled"),
                            "scheduled after a glob that fits none");
                    stage.mutate("discard", "scheduled", "{\"regexp\":\"*" + mark + "\\\\*?*\"}");
                    equal(before + 1, stage.size("Scheduled"), "scheduled");
                });
        add(
                "an unknown cmd or target is refused",
                stage -> {
                    stage.rejected(
                            stage.producer(),
                            "MUTATE {\"cmd\":\"jump\",\"target\":\"dead\"}",
                            "cmd: jump");
                    stage.rejected(
                            stage.producer(),
                            "MUTATE {\"cmd\":\"kill\",\"target\":\"all\"}",
                            "target: all");
                });
        addDestructive(
                "clear empties a set",
                stage -> {
                    stage.push(later(stage));
                    stage.mutate("clear", "scheduled", "");
                    equal(0, stage.size("Scheduled"), "scheduled");
                });
    }

    private void queues() {
        group = "queue";
        add(
                "a paused queue gives nothing until it is resumed",
                stage -> {
                    check(
                            stage.producer().call("QUEUE PAUSE " + stage.queue).ok(),
                            "PAUSE is not answered OK");
                    String jid = stage.push();
                    stage.checkNoJob();
                    check(
                            stage.producer().call("QUEUE RESUME " + stage.queue).ok(),
                            "RESUME is not answered OK");
                    stage.fetch(jid);
                });
        add(
                "a FETCH that waits while its queue is resumed gets its job",
                stage -> {
                    stage.producer().call("QUEUE PAUSE " + stage.queue);
                    String jid = stage.push();
                    stage.worker().send("FETCH " + stage.queue);
                    Thread.sleep(300);
                    stage.producer().call("QUEUE RESUME " + stage.queue);
                    equal(jid, stage.worker().read().json().path("jid").asText(), "job");
                });
        add(
                "REMOVE throws a queue's jobs away",
                stage -> {
                    stage.push();
                    stage.push();
                    equal(2, stage.queued(), "jobs in the queue");
                    check(
                            stage.producer().call("QUEUE REMOVE " + stage.queue).ok(),
                            "REMOVE is not answered OK");
                    equal(0, stage.queued(), "jobs in the queue");
                    stage.checkNoJob();
                });
        add(
                "several queues may be named at once",
                stage -> {
                    String other = stage.queue + "-2";
                    stage.producer().call("QUEUE PAUSE " + stage.queue + " " + other);
                    stage.push();
                    stage.push(stage.job().put("queue", other));
                    check(
                            stage.worker().call("FETCH " + stage.queue + " " + other).text()
                                    == null,
                            "a job comes");
                    stage.producer().call("QUEUE RESUME " + stage.queue + " " + other);
                    check(
                            stage.worker().call("FETCH " + stage.queue + " " + other).text()
                                    != null,
                            "no job comes");
                });
    }

    private void beats() {
        group = "beat";
        add(
                "BEAT is answered, with rss_kb and without",
                stage -> {
                    FaktoryClient worker = stage.worker();
                    check(
                            worker.call("BEAT {\"wid\":\"" + stage.wid + "\",\"rss_kb\":1234}")
                                    .ok(),
                            "BEAT is not answered OK");
                    check(
                            worker.call("BEAT {\"wid\":\"" + stage.wid + "\"}").ok(),
                            "BEAT is not answered OK");
                });
        add(
                "BEAT of an unknown worker is an error",
                stage ->
                        stage.rejected(
                                stage.producer(),
                                "BEAT {\"wid\":\"nobody-" + id() + "\"}",
                                "BEAT of nobody"));
        add(
                "a quiet worker may end what it has",
                stage -> {
                    String own = "quiet-" + id();
                    FaktoryClient worker = stage.connect(own);
                    String jid = stage.push();
                    JsonNode got = worker.call("FETCH " + stage.queue).json();
                    equal(jid, got.path("jid").asText(), "job");
                    check(
                            !worker.call(
                                            "BEAT {\"wid\":\""
                                                    + own
                                                    + "\",\"current_state\":\"quiet\"}")
                                    .error(),
                            "quiet is an error");
                    check(
                            worker.call("ACK {\"jid\":\"" + jid + "\"}").ok(),
                            "ACK of a quiet worker is not answered OK");
                });
    }

    private void info() {
        group = "info";
        add(
                "INFO has the server's figures",
                stage -> {
                    JsonNode info = stage.info();
                    check(
                            info.path("server_utc_time")
                                    .asText()
                                    .matches("\\d\\d:\\d\\d:\\d\\d UTC"),
                            "server_utc_time is " + info.path("server_utc_time"));
                    for (String field :
                            List.of("connections", "command_count", "uptime", "used_memory_mb")) {
                        check(
                                info.path("server").path(field).isNumber(),
                                "server." + field + " is no number");
                    }
                    check(
                            info.path("server").path("faktory_version").isTextual(),
                            "server.faktory_version is missing");
                });
        add(
                "INFO has the totals and the sets",
                stage -> {
                    JsonNode faktory = stage.info().path("faktory");
                    for (String field :
                            List.of(
                                    "default_size",
                                    "total_enqueued",
                                    "total_failures",
                                    "total_processed",
                                    "total_queues")) {
                        check(faktory.path(field).isNumber(), "faktory." + field + " is no number");
                    }
                    for (String set : List.of("Scheduled", "Retries", "Dead", "Working")) {
                        stage.size(set);
                    }
                });
        add(
                "INFO has each queue's size, and who works",
                stage -> {
                    String jid = stage.push();
                    stage.push();
                    equal(2, stage.queued(), "jobs in the queue");
                    int working = stage.size("Working");
                    stage.fetch(jid);
                    equal(1, stage.queued(), "jobs in the queue");
                    check(stage.size("Working") > working, "Working does not grow");
                });
        add(
                "command_count counts commands",
                stage -> {
                    long before = stage.info().path("server").path("command_count").asLong();
                    check(
                            stage.info().path("server").path("command_count").asLong() > before,
                            "it stays");
                });
    }

    private void track() {
        group = "track";
        add(
                "TRACK GET follows a job",
                stage -> {
                    equal("unknown", stage.track("no-such-" + id()), "state");
                    String jid = stage.push();
                    equal("enqueued", stage.track(jid), "state");
                    stage.fetch(jid);
                    equal("working", stage.track(jid), "state");
                    stage.ack(jid);
                    equal("success", stage.track(jid), "state");
                });
        add(
                "TRACK SET tells percent and words",
                stage -> {
                    String jid = stage.push();
                    stage.fetch(jid);
                    check(
                            stage.worker()
                                    .call(
                                            "TRACK SET {\"jid\":\""
                                                    + jid
                                                    + "\",\"percent\":42,\"desc\":\"halfway\"}")
                                    .ok(),
                            "TRACK SET is not answered OK");
                    JsonNode reported = stage.producer().call("TRACK GET " + jid).json();
                    equal(42, reported.path("percent").asInt(), "percent");
                    equal("halfway", reported.path("desc").asText(), "desc");
                    OffsetDateTime.parse(reported.path("updated_at").asText());
                });
        add(
                "TRACK SET may ask for a longer reservation",
                stage -> {
                    String jid = stage.push();
                    stage.fetch(jid);
                    check(
                            stage.worker()
                                    .call(
                                            "TRACK SET {\"jid\":\""
                                                    + jid
                                                    + "\",\"reserve_until\":\""
                                                    + in(3_600_000, ZoneOffset.ofHours(2))
                                                    + "\"}")
                                    .ok(),
                            "TRACK SET is not answered OK");
                    stage.ack(jid);
                });
    }

    private ObjectNode unique(Stage stage, String until) {
        ObjectNode job = stage.job();
        job.putObject("custom").put("unique_for", 600).put("unique_until", until);
        return job;
    }

    private void unique() {
        group = "unique";
        add(
                "the same work is not taken twice, other arguments are",
                stage -> {
                    stage.push(unique(stage, "success"));
                    FaktoryClient.Reply reply =
                            stage.producer().call("PUSH " + unique(stage, "success"));
                    check(
                            reply.error() && reply.text().startsWith("NOTUNIQUE"),
                            "the second is answered " + reply);
                    ObjectNode other = unique(stage, "success");
                    other.putArray("args").add(2);
                    stage.push(other);
                });
        add(
                "it is taken again once the first has succeeded",
                stage -> {
                    String jid = stage.push(unique(stage, "success"));
                    stage.fetch(jid);
                    check(
                            stage.producer().call("PUSH " + unique(stage, "success")).error(),
                            "taken while the first runs");
                    stage.ack(jid);
                    stage.push(unique(stage, "success"));
                });
        add(
                "or once the first has started, with unique_until start",
                stage -> {
                    String jid = stage.push(unique(stage, "start"));
                    check(
                            stage.producer().call("PUSH " + unique(stage, "start")).error(),
                            "taken while the first waits");
                    stage.fetch(jid);
                    stage.push(unique(stage, "start"));
                });
    }

    private String batch(Stage stage, String parent) throws IOException {
        ObjectNode batch = FaktoryClient.JSON.createObjectNode().put("description", "conformance");
        if (!parent.isEmpty()) {
            batch.put("parent_bid", parent);
        }
        batch.set("success", callback(stage, "Success"));
        batch.set("complete", callback(stage, "Complete"));
        FaktoryClient.Reply reply = stage.producer().call("BATCH NEW " + batch);
        check(!reply.error() && reply.text() != null, "BATCH NEW is answered " + reply);
        return reply.text();
    }

    private static ObjectNode callback(Stage stage, String type) {
        return stage.job().put("jobtype", type).put("queue", stage.queue + "-cb");
    }

    private static ObjectNode batchJob(Stage stage, String bid) {
        ObjectNode job = stage.job();
        job.putObject("custom").put("bid", bid);
        return job;
    }

    private static void commit(Stage stage, String bid) throws IOException {
        check(stage.producer().call("BATCH COMMIT " + bid).ok(), "BATCH COMMIT is not answered OK");
    }

    /** Fetches the next callback, checks its type and acknowledges it. */
    private static void runCallback(Stage stage, String type) throws IOException {
        for (int i = 0; i < 4; i++) {
            FaktoryClient.Reply reply = stage.worker().call("FETCH " + stage.queue + "-cb");
            if (reply.text() != null) {
                equal(type, reply.json().path("jobtype").asText(), "callback");
                stage.ack(reply.json().path("jid").asText());
                return;
            }
        }
        check(false, "the callback " + type + " does not come");
    }

    private static void checkNoCallback(Stage stage) throws IOException {
        FaktoryClient.Reply reply = stage.worker().call("FETCH " + stage.queue + "-cb");
        check(reply.text() == null, "a callback comes too early: " + reply.text());
    }

    private void batches() {
        group = "batch";
        add(
                "complete and success come once all jobs have succeeded",
                stage -> {
                    String bid = batch(stage, "");
                    String one = stage.push(batchJob(stage, bid));
                    String two = stage.push(batchJob(stage, bid));
                    commit(stage, bid);
                    stage.fetch(one);
                    stage.ack(one);
                    checkNoCallback(stage);
                    stage.fetch(two);
                    stage.ack(two);
                    runCallback(stage, "Complete");
                    runCallback(stage, "Success");
                });
        add(
                "a failed job lets complete come, and success only once it has succeeded",
                stage -> {
                    String bid = batch(stage, "");
                    String jid = stage.push(batchJob(stage, bid));
                    commit(stage, bid);
                    stage.fetch(jid);
                    stage.fail(jid);
                    runCallback(stage, "Complete");
                    checkNoCallback(stage);
                    stage.mutate("requeue", "retries", jids(jid));
                    stage.fetch(jid);
                    stage.ack(jid);
                    runCallback(stage, "Success");
                });
        add(
                "nothing comes before COMMIT",
                stage -> {
                    String bid = batch(stage, "");
                    String jid = stage.push(batchJob(stage, bid));
                    stage.fetch(jid);
                    stage.ack(jid);
                    checkNoCallback(stage);
                    commit(stage, bid);
                    runCallback(stage, "Complete");
                });
    }

    private void batchStates() {
        add(
                "an empty batch is complete at COMMIT",
                stage -> {
                    commit(stage, batch(stage, ""));
                    runCallback(stage, "Complete");
                    runCallback(stage, "Success");
                });
        add(
                "BATCH STATUS tells the counts",
                stage -> {
                    String bid = batch(stage, "");
                    String jid = stage.push(batchJob(stage, bid));
                    stage.push(batchJob(stage, bid));
                    commit(stage, bid);
                    stage.fetch(jid);
                    stage.fail(jid);
                    JsonNode reported = stage.producer().call("BATCH STATUS " + bid).json();
                    equal(2, reported.path("total").asInt(), "total");
                    equal(2, reported.path("pending").asInt(), "pending");
                    equal(1, reported.path("failed").asInt(), "failed");
                    equal("conformance", reported.path("description").asText(), "description");
                    equal("", reported.path("complete_st").asText("none"), "complete_st");
                });
        add(
                "a committed batch takes no job until it is opened again",
                stage -> {
                    String bid = batch(stage, "");
                    String jid = stage.push(batchJob(stage, bid));
                    commit(stage, bid);
                    stage.rejected(
                            stage.producer(),
                            "PUSH " + batchJob(stage, bid),
                            "a job for a committed batch");
                    check(
                            !stage.producer().call("BATCH OPEN " + bid).error(),
                            "BATCH OPEN is an error");
                    String more = stage.push(batchJob(stage, bid));
                    commit(stage, bid);
                    stage.fetch(jid);
                    stage.ack(jid);
                    checkNoCallback(stage);
                    stage.fetch(more);
                    stage.ack(more);
                    runCallback(stage, "Complete");
                });
        add(
                "an outer batch waits for the inner one's callbacks",
                stage -> {
                    String outer = batch(stage, "");
                    String inner = batch(stage, outer);
                    String jid = stage.push(batchJob(stage, inner));
                    commit(stage, inner);
                    commit(stage, outer);
                    checkNoCallback(stage);
                    stage.fetch(jid);
                    stage.ack(jid);
                    for (int i = 0; i < 2; i++) {
                        runCallback(stage, "Complete");
                        runCallback(stage, "Success");
                    }
                });
        add(
                "an unknown batch is refused",
                stage -> {
                    stage.rejected(
                            stage.producer(), "BATCH STATUS b-no-such", "STATUS of no batch");
                    stage.rejected(
                            stage.producer(),
                            "PUSH " + batchJob(stage, "b-no-such"),
                            "a job for no batch");
                });
    }

    private void flush() {
        group = "flush";
        addDestructive(
                "FLUSH empties queues and sets",
                stage -> {
                    stage.push();
                    stage.push(later(stage));
                    check(stage.producer().call("FLUSH").ok(), "FLUSH is not answered OK");
                    equal(0, stage.queued(), "jobs in the queue");
                    equal(0, stage.size("Scheduled"), "scheduled");
                    equal(0, stage.size("Retries"), "retries");
                    equal(0, stage.size("Dead"), "dead");
                    stage.checkNoJob();
                });
    }
}
