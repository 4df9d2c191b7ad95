package damsonslip.compatibility;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.RedisStandIn;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;

/**
 * Makes the real program store a job in every state, batches and a paused queue, and returns the
 * contents of the store.
 */
final class StoredJobsScenario {
    static final String SCHEDULER = "school-desk";
    static final String WORKER = "w1";
    private static final String WORK = ",\"queue\":\"work\"";
    private static final String IDLE = ",\"queue\":\"idle\"";
    private static final int DEADLINE_S = 600;

    /** So short that the scheduler rejects the job, since no worker fetches from its queue. */
    private static final double REFUSED_DEADLINE_S = 0.3;

    /** Deadline of a job that expires while the server is down. */
    private static final double FAILED_DEADLINE_S = 1.5;

    private static final long DOWN_MS = 1_600;

    private final FaktoryPeer producer;
    private final FaktoryPeer worker;

    private StoredJobsScenario(FaktoryServer server) throws IOException {
        producer = server.peer("");
        worker = server.peer(WORKER);
    }

    /** Runs the scenario with settings in this directory; returns the contents of the store. */
    static List<List<String>> run(Path directory) throws Exception {
        RedisStandIn redis = new RedisStandIn();
        try (FaktoryServer server = new FaktoryServer(directory, redis)) {
            server.start();
            storeFailedJob(server);
            StoredJobsScenario scenario = new StoredJobsScenario(server);
            scenario.storeWaitingJobs();
            scenario.storeEndedRuns();
            scenario.storeAwaitedJobs();
            scenario.storeBatches();
            scenario.storeReservedJobs();
            scenario.storeEndedJobThatMustNotRunTwice();
            List<List<String>> entries = redis.entries();
            server.closing(redis);
            return entries;
        }
    }

    /** The job's deadline expires while the server is down; the next start stores it as failed. */
    private static void storeFailedJob(FaktoryServer server) throws Exception {
        expectOk(
                server.peer("")
                        .push(
                                "stored-failed",
                                "list-report",
                                FAILED_DEADLINE_S,
                                ",\"queue\":\"unfetched\""));
        server.program().kill();
        server.program().exit();
        Thread.sleep(DOWN_MS);
        server.start();
        FaktoryServer.awaitState(server.peer(""), "stored-failed", "failed");
    }

    private static void expectOk(String reply) {
        if (!"+OK".equals(reply)) {
            throw new AssertionError("the server replied " + reply);
        }
    }

    private void push(String jid, String more) throws IOException {
        expectOk(producer.plain(jid, more));
    }

    private void pushAndFetch(String jid, String more) throws IOException {
        push(jid, more);
        String fetched = worker.fetch("work", 5_000);
        if (!jid.equals(fetched)) {
            throw new AssertionError("fetched " + fetched + " instead of " + jid);
        }
    }

    private void storeWaitingJobs() throws IOException {
        String later =
                Instant.now()
                        .plus(1, ChronoUnit.HOURS)
                        .truncatedTo(ChronoUnit.MILLIS)
                        .plusMillis(1)
                        .toString();
        push("stored-queued", IDLE + ",\"priority\":7");
        push("stored-scheduled", IDLE + ",\"at\":\"" + later + "\"");
        push("stored-unique", IDLE + ",\"custom\":{\"unique_for\":3600}");
        push(
                "stored-unique-until-start",
                IDLE + ",\"custom\":{\"unique_for\":3600,\"unique_until\":\"start\"},\"args\":[2]");
        push("stored-expiring", IDLE + ",\"custom\":{\"expires_at\":3600}");
        push("stored-paused", ",\"queue\":\"paused\"");
        expectOk(producer.call("QUEUE PAUSE paused"));
    }

    private void storeEndedRuns() throws IOException {
        pushAndFetch("stored-success", WORK);
        expectOk(worker.ack("stored-success"));
        pushAndFetch("stored-discarded", WORK + ",\"retry\":0");
        expectOk(worker.fail("stored-discarded"));
        pushAndFetch("stored-dead", WORK + ",\"retry\":-1");
        expectOk(worker.fail("stored-dead"));
        pushAndFetch("stored-dead-once", WORK + ",\"custom\":{\"class\":\"apply-submit\"}");
        expectOk(worker.fail("stored-dead-once"));
        pushAndFetch("stored-retry", WORK + ",\"retry\":5,\"backtrace\":2");
        expectOk(
                worker.call(
                        "FAIL {\"jid\":\"stored-retry\",\"errtype\":\"StoredError\","
                                + "\"message\":\"stored"
                                + " message\",\"backtrace\":[\"line 1\",\"line 2\",\"line 3\"]}"));
    }

    private void storeAwaitedJobs() throws IOException {
        expectOk(
                producer.push(
                        "stored-refused",
                        "list-report",
                        REFUSED_DEADLINE_S,
                        ",\"queue\":\"unfetched\""));
        FaktoryServer.awaitState(producer, "stored-refused", "failed");
        pushAwaitedAndFetch("stored-refused-after-run", ",\"retry\":0");
        expectOk(worker.fail("stored-refused-after-run"));
        FaktoryServer.awaitState(producer, "stored-refused-after-run", "failed");
    }

    private void pushAwaitedAndFetch(String jid, String more) throws IOException {
        expectOk(producer.push(jid, "list-report", DEADLINE_S, WORK + more));
        String fetched = worker.fetch("work", 5_000);
        if (!jid.equals(fetched)) {
            throw new AssertionError("fetched " + fetched + " instead of " + jid);
        }
    }

    private void storeBatches() throws IOException {
        String open = newBatch("open", "");
        push("stored-open-batch-job", IDLE + inBatch(open));
        String child = newBatch("child", ",\"parent_bid\":\"" + open + "\"");
        push("stored-child-batch-job", IDLE + inBatch(child));
        commit(child);
        String complete = newBatch("complete", "");
        pushAndFetch("stored-complete-batch-job", WORK + inBatch(complete));
        expectOk(worker.ack("stored-complete-batch-job"));
        commit(complete);
        String ended = newBatch("ended", "");
        commit(ended);
        for (int callback = 0; callback < 2; callback++) {
            expectOk(worker.ack(worker.fetch("callbacks-ended", 5_000)));
        }
    }

    private String newBatch(String description, String more) throws IOException {
        String queue = ",\"args\":[],\"queue\":\"callbacks-" + description + "\"}";
        return producer.call(
                "BATCH NEW {\"description\":\""
                        + description
                        + "\""
                        + more
                        + ",\"success\":{\"jobtype\":\"S\""
                        + queue
                        + ",\"complete\":{\"jobtype\":\"C\""
                        + queue
                        + "}");
    }

    private void commit(String bid) throws IOException {
        expectOk(producer.call("BATCH COMMIT " + bid));
    }

    private static String inBatch(String bid) {
        return ",\"custom\":{\"bid\":\"" + bid + "\"}";
    }

    private void storeEndedJobThatMustNotRunTwice() throws IOException {
        pushAndFetch("stored-success-once", WORK + ",\"custom\":{\"class\":\"apply-submit\"}");
        expectOk(worker.ack("stored-success-once"));
    }

    private void storeReservedJobs() throws IOException {
        pushAndFetch("stored-reserved", WORK);
        pushAwaitedAndFetch("stored-reserved-awaited", "");
    }
}
