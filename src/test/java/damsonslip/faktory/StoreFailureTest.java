package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.RedisStandIn.TrapAction;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a store that stalls, replies with errors, or whose reply is lost. */
class StoreFailureTest extends FaktoryProgramFixture {
    /** Options in the push of a job that must not run twice. */
    private static final String NOT_IDEMPOTENT =
            ",\"queue\":\"q\",\"custom\":{\"class\":\"apply-submit\"}";

    StoreFailureTest() {
        super(NO_PASSWORD, "least_reserve_s = 60", "least_reserve_s = 1");
    }

    private static final long OUTAGE_MS = 5_000;

    /** The time until pushes whose reply was lost are deleted from the store. */
    private static final long CLEANUP_MS = 1_200;

    /** Several times the interval at which the store is checked. */
    private static final long AFTER_OUTAGE_MS = 10_000;

    /** During an outage of five seconds, pushes get an error, and no acknowledged job is lost. */
    @ParameterizedTest
    @ValueSource(strings = {"stalls", "fails"})
    void losesNoAcknowledgedJobDuringStoreOutage(String how) throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        assertEquals("+OK", producer.plain("job-held1", ",\"queue\":\"q\""));
        assertEquals("job-held1", worker.fetch("q", 2_000));
        List<String> acknowledged = pushDuringOutage(producer, how);
        String reply = worker.ack("job-held1");
        redis.errors(false);
        await(
                "pushes are accepted again",
                () -> "+OK".equals(producer.plain("job-after1", ",\"queue\":\"q\"")));
        acknowledged.add("job-after1");
        FaktoryServer.awaitState(producer, "job-held1", "success");
        assertTrue(reply.equals("+OK") || reply.startsWith("-ERR the store is down"), reply);
        Thread.sleep(CLEANUP_MS);
        server.killAndStart();
        FaktoryPeer after = producer();
        acknowledged.sort(null);
        assertEquals(acknowledged, runAllJobs(), "exactly the acknowledged jobs run");
        assertEquals("success", after.state("job-held1"));
    }

    /** Starts an outage and pushes jobs until it ends; returns those that were acknowledged. */
    private List<String> pushDuringOutage(FaktoryPeer producer, String how) throws Exception {
        List<String> acknowledged = new ArrayList<>();
        long untilNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OUTAGE_MS);
        if (how.equals("stalls")) {
            redis.stall(OUTAGE_MS);
        } else {
            redis.errors(true);
        }
        int rejected = 0;
        for (int i = 0; System.nanoTime() < untilNs; i++) {
            String jid = "job-" + (10_000 + i);
            String reply = producer.plain(jid, ",\"queue\":\"q\"");
            if (reply.equals("+OK")) {
                acknowledged.add(jid);
            } else {
                assertTrue(
                        reply.startsWith("-ERR the store is down and the job was not taken"),
                        reply);
                rejected++;
            }
            Thread.sleep(50);
        }
        assertTrue(rejected > 5, rejected + " were rejected");
        return acknowledged;
    }

    /** Runs all waiting jobs; returns their ids in ascending order. */
    private List<String> runAllJobs() throws IOException {
        FaktoryPeer worker = peer("w2");
        List<String> ran = new ArrayList<>();
        for (String jid = worker.fetch("q", 2_500); jid != null; jid = worker.fetch("q", 0)) {
            ran.add(jid);
            worker.ack(jid);
        }
        ran.sort(null);
        return ran;
    }

    /**
     * The store records a job and its reply is lost: the job runs once if it is pushed again, and
     * otherwise not at all.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void runsJobOnlyIfPushedAgainAfterLostReply(boolean again) throws Exception {
        FaktoryPeer producer = producer();
        CountDownLatch replyDropped =
                redis.trapNext(
                        words ->
                                words.get(0).equalsIgnoreCase("GET")
                                        && words.get(1).endsWith("job:job-00001"),
                        TrapAction.EXECUTE_AND_CLOSE);
        assertTrue(
                producer.plain("job-00001", NOT_IDEMPOTENT).startsWith("-ERR the store is down"));
        assertTrue(replyDropped.await(1, TimeUnit.SECONDS));
        if (again) {
            await(
                    "the repeated push is accepted",
                    () -> "+OK".equals(producer.plain("job-00001", NOT_IDEMPOTENT)));
        } else {
            Thread.sleep(1_500);
        }
        FaktoryPeer worker = peer("w1");
        assertEquals(again ? "job-00001" : null, worker.fetch("q", 0));
        if (again) {
            assertEquals("+OK", worker.ack("job-00001"));
        }
        assertNull(worker.fetch("q", 0));
        assertEquals(again ? "success" : "unknown", producer.state("job-00001"));
    }

    /**
     * Guards against a store that counts as down for ever: the only call that failed in the outage
     * was one that is attempted once, and nobody made another one.
     */
    @Test
    void handsOutWaitingJobsAfterOutageInWhichOnlyHelloFailed() throws Exception {
        FaktoryPeer producer = producer();
        assertEquals("+OK", producer.plain("job-00001", ",\"queue\":\"q\""));
        redis.down();
        FaktoryPeer worker = peer("w1");
        assertNull(worker.fetch("q", 1), "the store is down");
        redis.up();
        assertEquals("job-00001", worker.fetch("q", AFTER_OUTAGE_MS));
        assertEquals("+OK", worker.ack("job-00001"));
    }
}
