package damsonslip.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.RedisStandIn;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A Faktory server that is started on the saved contents of a store serves every job in it. */
class StoredJobsTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String TYPE_MEMBER = "member";

    /** The state of each saved job, in the words of TRACK GET. */
    private static final Map<String, String> STATES =
            Map.ofEntries(
                    Map.entry("stored-queued", "enqueued"),
                    Map.entry("stored-unique", "enqueued"),
                    Map.entry("stored-unique-until-start", "enqueued"),
                    Map.entry("stored-expiring", "enqueued"),
                    Map.entry("stored-paused", "enqueued"),
                    Map.entry("stored-open-batch-job", "enqueued"),
                    Map.entry("stored-child-batch-job", "enqueued"),
                    Map.entry("stored-scheduled", "enqueued"),
                    Map.entry("stored-retry", "failed"),
                    Map.entry("stored-dead", "dead"),
                    Map.entry("stored-dead-once", "dead"),
                    Map.entry("stored-reserved", "working"),
                    Map.entry("stored-reserved-awaited", "enqueued"),
                    Map.entry("stored-refused-after-run", "failed"),
                    Map.entry("stored-success", "success"),
                    Map.entry("stored-success-once", "success"),
                    Map.entry("stored-discarded", "discarded"),
                    Map.entry("stored-complete-batch-job", "success"),
                    Map.entry("stored-failed", "failed"),
                    Map.entry("stored-refused", "failed"));

    @TempDir Path directory;
    private List<List<String>> saved;
    private FaktoryServer server;
    private FaktoryPeer producer;

    @BeforeEach
    void startOnSavedContents() throws IOException {
        saved = StoredEntries.readAsOfNow(StoredJobsFormTest.SAVED);
        RedisStandIn redis = new RedisStandIn();
        redis.addEntries(saved);
        server = new FaktoryServer(directory, redis);
        server.closing(redis);
        server.start();
        producer = server.peer("");
    }

    @AfterEach
    void end() throws Exception {
        server.close();
    }

    @Test
    void recoversEveryOpenJob() {
        long open = saved.stream().filter(entry -> entry.get(0).equals(TYPE_MEMBER)).count();
        String said = server.program().output();
        assertTrue(said.contains(" " + open + " jobs taken up from the store"), said);
    }

    @Test
    void reportsEveryJobInItsState() throws IOException {
        Map<String, String> states = new TreeMap<>();
        for (String jid : STATES.keySet()) {
            states.put(jid, producer.state(jid));
        }
        assertEquals(new TreeMap<>(STATES), states);
        assertEquals(1, producer.size("Scheduled"));
        assertEquals(1, producer.size("Retries"));
        assertEquals(2, producer.size("Dead"));
    }

    @Test
    void reportsWhyJobsEnded() throws IOException {
        assertEquals("failed, with no retry; E: m", description("stored-discarded"));
        assertEquals(
                "it may have run and its class must not run twice; E: m",
                description("stored-dead-once"));
        assertTrue(description("stored-refused").startsWith("throttled, retry after"));
        assertEquals("out of time", description("stored-failed"));
    }

    private String description(String jid) throws IOException {
        return producer.track(jid).path("desc").asText();
    }

    @Test
    void handsOutQueuedJobsByPriorityAndArrival() throws IOException {
        FaktoryPeer worker = server.peer("w2");
        for (String jid :
                List.of(
                        "stored-queued",
                        "stored-unique",
                        "stored-unique-until-start",
                        "stored-expiring",
                        "stored-open-batch-job",
                        "stored-child-batch-job")) {
            JsonNode job = fetch(worker, "idle");
            assertEquals(jid, job.path("jid").asText());
            assertEquals("t", job.path("jobtype").asText());
            assertTrue(job.path("args").isArray(), job.toString());
            assertEquals("+OK", worker.ack(jid));
        }
        assertNull(worker.fetch("idle", 0));
    }

    private static JsonNode fetch(FaktoryPeer worker, String queue) throws IOException {
        for (int attempt = 0; attempt < 3; attempt++) {
            String job = worker.call("FETCH " + queue);
            if (job != null) {
                return JSON.readTree(job);
            }
        }
        throw new AssertionError("no job was fetched from queue " + queue);
    }

    @Test
    void runsScheduledRetriedAndDeadJobsWhenAnOperatorRequeuesThem() throws IOException {
        FaktoryPeer worker = server.peer("w2");
        assertEquals("+OK", producer.mutate("requeue", "scheduled", "stored-scheduled"));
        fetchUntil(worker, "stored-scheduled");
        runReservedAwaitedJob(worker);
        assertEquals("+OK", producer.mutate("requeue", "retries", "stored-retry"));
        JsonNode failure = fetch(worker, "work").path("failure");
        assertEquals("StoredError", failure.path("errtype").asText());
        assertEquals("stored message", failure.path("message").asText());
        assertEquals("[\"line 1\",\"line 2\"]", failure.path("backtrace").toString());
        assertEquals("+OK", worker.ack("stored-retry"));
        assertEquals("+OK", producer.mutate("requeue", "dead", "stored-dead"));
        assertEquals("stored-dead", worker.fetch("work", 2_000));
    }

    /** Fetches and acknowledges jobs of the queue "idle" until this one is fetched. */
    private static String fetchUntil(FaktoryPeer worker, String wanted) throws IOException {
        String jid = "";
        while (!wanted.equals(jid)) {
            jid = fetch(worker, "idle").path("jid").asText();
            assertEquals("+OK", worker.ack(jid));
        }
        return jid;
    }

    @Test
    void acceptsReportsOfTheWorkerThatHoldsAJob() throws IOException {
        FaktoryPeer other = server.peer("w2");
        runReservedAwaitedJob(other);
        assertNull(other.fetch("work", 0));
        assertEquals("+OK", other.ack("stored-reserved"));
        assertEquals(
                "working",
                producer.state("stored-reserved"),
                "an ACK of a worker that does not hold the job is ignored");
        FaktoryPeer holder = server.peer(StoredJobsScenario.WORKER);
        assertEquals("+OK", holder.ack("stored-reserved"));
        FaktoryServer.awaitState(producer, "stored-reserved", "success");
    }

    /**
     * The job is idempotent and its producer waits for the result, so that after a restart any
     * worker may fetch it.
     */
    private static void runReservedAwaitedJob(FaktoryPeer worker) throws IOException {
        assertEquals("stored-reserved-awaited", worker.fetch("work", 2_000));
        assertEquals("+OK", worker.ack("stored-reserved-awaited"));
    }

    @Test
    void runsNoEndedJobAgain() throws IOException {
        FaktoryPeer worker = server.peer("w2");
        runReservedAwaitedJob(worker);
        for (String jid :
                List.of(
                        "stored-success",
                        "stored-success-once",
                        "stored-discarded",
                        "stored-dead-once")) {
            assertEquals("+OK", producer.plain(jid, ",\"queue\":\"work\""));
            assertEquals(STATES.get(jid), producer.state(jid));
        }
        String reply = producer.mutate("requeue", "dead", "stored-dead-once");
        assertTrue(reply.startsWith("-ERR 1 of 1 may have run"), reply);
        assertNull(worker.fetch("work", 0));
    }

    @Test
    void keepsUniqueKeysLocked() throws IOException {
        String unique = ",\"queue\":\"idle\",\"custom\":{\"unique_for\":3600}";
        String reply = producer.plain("later-unique", unique);
        assertTrue(reply.startsWith("-NOTUNIQUE"), reply);
        fetchUntil(server.peer("w2"), "stored-unique-until-start");
        assertEquals("+OK", producer.plain("later-unique", unique));
    }

    @Test
    void keepsAQueuePausedUntilItIsResumed() throws IOException {
        FaktoryPeer worker = server.peer("w2");
        assertNull(worker.fetch("paused", 0));
        assertEquals("+OK", producer.call("QUEUE RESUME paused"));
        assertEquals("stored-paused", worker.fetch("paused", 2_000));
    }

    @Test
    void reportsBatches() throws IOException {
        assertBatch("open", 1, 1, "", "");
        assertBatch("child", 1, 1, "", "");
        assertBatch("complete", 1, 0, "1", "1");
        assertBatch("ended", 0, 0, "2", "2");
        assertEquals(batchId("open"), status("child").path("parent_bid").asText());
    }

    private void assertBatch(
            String description, int total, int pending, String complete, String success)
            throws IOException {
        JsonNode status = status(description);
        assertEquals(description, status.path("description").asText());
        assertEquals(total, status.path("total").asInt(), status.toString());
        assertEquals(pending, status.path("pending").asInt(), status.toString());
        assertEquals(complete, status.path("complete_st").asText(), status.toString());
        assertEquals(success, status.path("success_st").asText(), status.toString());
    }

    private String batchId(String description) throws IOException {
        return StoredEntries.batchId(saved, description);
    }

    private JsonNode status(String description) throws IOException {
        return JSON.readTree(producer.call("BATCH STATUS " + batchId(description)));
    }

    @Test
    void runsCallbacksThatWereDue() throws IOException {
        FaktoryPeer worker = server.peer("w2");
        for (String callback : List.of("-complete", "-success")) {
            String jid = batchId("complete") + callback;
            assertEquals(jid, worker.fetch("callbacks-complete", 2_000));
            assertEquals("+OK", worker.ack(jid));
        }
        assertBatch("complete", 1, 0, "2", "2");
        assertNull(worker.fetch("callbacks-ended", 0));
    }

    @Test
    void endsBatchesThatWereOpenWithTheirCallbacks() throws IOException {
        FaktoryPeer worker = server.peer("w2");
        assertEquals(
                "+OK",
                producer.plain(
                        "later-batch-job",
                        ",\"queue\":\"late\",\"custom\":{\"bid\":\"" + batchId("open") + "\"}"));
        assertEquals("+OK", producer.call("BATCH COMMIT " + batchId("open")));
        fetchUntil(worker, "stored-child-batch-job");
        assertEquals("+OK", worker.ack(worker.fetch("late", 2_000)));
        for (String description : List.of("child", "open")) {
            for (String callback : List.of("-complete", "-success")) {
                String jid = batchId(description) + callback;
                String queue = "callbacks-" + description;
                assertEquals(jid, worker.fetch(queue, 4_000));
                assertEquals("+OK", worker.ack(jid));
            }
        }
    }
}
