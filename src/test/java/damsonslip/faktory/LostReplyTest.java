package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.RedisStandIn.TrapAction;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * The store executes a write and its reply is lost, and a newer write of the same job, batch or
 * queue follows before the first one is repeated. Guards against the older state being put over the
 * newer one.
 */
class LostReplyTest extends FaktoryProgramFixture {
    private static final String QUEUE = ",\"queue\":\"q\"";

    /** After this time the store is called again, and failed writes are not repeated yet. */
    private static final long STORE_IS_CALLED_AGAIN_MS = 320;

    /** After this time failed writes have been repeated. */
    private static final long REPEATED_MS = 1_500;

    private static final int MAX_PUSHES = 20;

    LostReplyTest() {
        super(NO_PASSWORD);
    }

    /** Loses the reply to the next command that writes this key unconditionally. */
    private CountDownLatch loseReply(String command, String keyEnd) {
        return redis.trapNext(
                words ->
                        words.get(0).equalsIgnoreCase(command)
                                && !words.contains("NX")
                                && words.stream().anyMatch(word -> word.endsWith(keyEnd)),
                TrapAction.EXECUTE_AND_CLOSE);
    }

    private void kill() throws Exception {
        server.killAndStart();
    }

    private static String pushApplication(FaktoryPeer producer, String jid) throws IOException {
        return producer.push(jid, "apply-submit", 40, ",\"queue\":\"submit\"");
    }

    /** Keeps the only worker busy, and pushes applications until one is rejected; returns those. */
    private int fillClass(FaktoryPeer producer, FaktoryPeer worker, String prefix)
            throws IOException {
        assertEquals("+OK", producer.plain(prefix + "busy", ",\"queue\":\"status\""));
        assertEquals(prefix + "busy", worker.fetch("status", 2_000));
        int accepted = 0;
        while (pushApplication(producer, prefix + accepted).equals("+OK")) {
            accepted++;
            assertTrue(accepted < MAX_PUSHES, "no application is rejected");
        }
        return accepted;
    }

    private static void runAll(FaktoryPeer worker) throws IOException {
        for (String jid = worker.fetch("submit", 2_000); jid != null; ) {
            assertEquals("+OK", worker.ack(jid));
            jid = worker.fetch("submit", 0);
        }
    }

    /** An application that was rejected, pushed again and run must not run a second time. */
    @Test
    void rejectedJobThatIsPushedAgainRunsOnce() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        String rejected = "first-job-" + fillClass(producer, worker, "first-job-");
        assertEquals("+OK", worker.ack("first-job-busy"));
        runAll(worker);
        assertEquals("+OK", producer.plain("second-job-busy", ",\"queue\":\"status\""));
        assertEquals("second-job-busy", worker.fetch("status", 2_000));
        CountDownLatch lost = loseReply("SET", "body:" + rejected);
        await("it is accepted", () -> pushApplication(producer, rejected).equals("+OK"));
        assertTrue(lost.await(1, TimeUnit.SECONDS));
        Thread.sleep(STORE_IS_CALLED_AGAIN_MS);
        assertEquals("+OK", worker.ack("second-job-busy"));
        assertEquals(rejected, worker.fetch("submit", 2_000));
        assertEquals("+OK", worker.ack(rejected));
        Thread.sleep(REPEATED_MS);
        assertEquals("success", producer.state(rejected));
        kill();
        assertEquals("success", producer().state(rejected));
        assertNull(peer("w1").fetch("submit", 1_000));
    }

    /** A push whose reply was lost is taken back; the job that is pushed again then has to run. */
    @Test
    void jobThatIsPushedAgainIsNotDeleted() throws Exception {
        FaktoryPeer producer = producer();
        CountDownLatch pushLost = loseReply("GET", "job:job-00001");
        assertTrue(producer.plain("job-00001", QUEUE).startsWith("-ERR the store is down"));
        assertTrue(pushLost.await(1, TimeUnit.SECONDS));
        CountDownLatch deleteLost = loseReply("SREM", "job-00001");
        assertTrue(deleteLost.await(2, TimeUnit.SECONDS), "the push is taken back");
        Thread.sleep(STORE_IS_CALLED_AGAIN_MS);
        assertEquals("+OK", producer.plain("job-00001", QUEUE));
        Thread.sleep(REPEATED_MS);
        assertEquals("job-00001", peer("w1").fetch("q", 2_000));
    }

    @Test
    void flushedJobThatIsPushedAgainIsNotDeleted() throws Exception {
        FaktoryPeer producer = producer();
        assertEquals("+OK", producer.plain("job-00001", QUEUE));
        CountDownLatch lost = loseReply("SREM", "job-00001");
        assertTrue(producer.call("FLUSH").startsWith("-ERR"));
        assertTrue(lost.await(1, TimeUnit.SECONDS));
        Thread.sleep(STORE_IS_CALLED_AGAIN_MS);
        assertEquals("+OK", producer.plain("job-00001", QUEUE));
        Thread.sleep(REPEATED_MS);
        assertEquals("job-00001", peer("w1").fetch("q", 2_000));
    }

    @Test
    void resumedQueueStaysResumed() throws Exception {
        FaktoryPeer producer = producer();
        assertEquals("+OK", producer.plain("job-00001", QUEUE));
        CountDownLatch lost = loseReply("HSET", "paused:school-desk");
        assertEquals("+OK", producer.call("QUEUE PAUSE q"));
        assertTrue(lost.await(1, TimeUnit.SECONDS));
        Thread.sleep(STORE_IS_CALLED_AGAIN_MS);
        assertEquals("+OK", producer.call("QUEUE RESUME q"));
        Thread.sleep(REPEATED_MS);
        kill();
        assertEquals("job-00001", peer("w1").fetch("q", 2_000));
    }

    @Test
    void committedBatchStaysCommitted() throws Exception {
        FaktoryPeer producer = producer();
        String bid =
                producer.call(
                        "BATCH NEW {\"complete\":{\"jobtype\":\"C\",\"args\":[],\"queue\":\"q\"}}");
        CountDownLatch lost = loseReply("HSET", "batch:school-desk");
        String inBatch = QUEUE + ",\"custom\":{\"bid\":\"" + bid + "\"}";
        assertEquals("+OK", producer.plain("job-00001", inBatch));
        assertTrue(lost.await(1, TimeUnit.SECONDS));
        Thread.sleep(STORE_IS_CALLED_AGAIN_MS);
        assertEquals("+OK", producer.call("BATCH COMMIT " + bid));
        Thread.sleep(REPEATED_MS);
        kill();
        FaktoryPeer worker = peer("w1");
        assertEquals("job-00001", worker.fetch("q", 2_000));
        assertEquals("+OK", worker.ack("job-00001"));
        assertEquals(bid + "-complete", worker.fetch("q", 2_000), "the callback is due");
    }

    /** The rejection is the newer state: the job must not be told as enqueued for good. */
    @Test
    void requeuedJobOfFullClassIsRejected() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        String later = Instant.now().plusSeconds(600).toString();
        assertEquals(
                "+OK",
                producer.push(
                        "scheduled-1",
                        "apply-submit",
                        700,
                        ",\"queue\":\"submit\",\"at\":\"" + later + "\""));
        fillClass(producer, worker, "first-job-");
        assertEquals("+OK", producer.mutate("requeue", "scheduled", "scheduled-1"));
        FaktoryServer.awaitState(producer, "scheduled-1", "failed");
        assertEquals(
                List.of(),
                redis.entries().stream()
                        .filter(entry -> entry.toString().contains("body:scheduled-1"))
                        .toList());
    }
}
