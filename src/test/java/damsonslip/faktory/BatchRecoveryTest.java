package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.RedisStandIn.TrapAction;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests batches across a restart of the scheduler. */
class BatchRecoveryTest extends FaktoryProgramFixture {
    private static final ObjectMapper JSON = new ObjectMapper();

    BatchRecoveryTest() {
        super(NO_PASSWORD, "least_reserve_s = 60", "least_reserve_s = 1");
    }

    private static String createBatch(FaktoryPeer producer) throws IOException {
        return producer.call(
                "BATCH NEW"
                    + " {\"success\":{\"jobtype\":\"S\",\"args\":[],\"queue\":\"cb\"},\"complete\":"
                    + "{\"jobtype\":\"C\",\"args\":[],\"queue\":\"cb\"}}");
    }

    private static String jobOptions(String bid, int retry) {
        return ",\"queue\":\"q\",\"retry\":" + retry + ",\"custom\":{\"bid\":\"" + bid + "\"}";
    }

    /**
     * The only job of a batch is dead, and the scheduler is killed before the callback is recorded:
     * the callback is pushed exactly once, after the restart.
     */
    @Test
    void pushesCallbackOnceIfKilledWhenItWasDue() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        String bid = createBatch(producer);
        assertEquals("+OK", producer.plain("job-00001", jobOptions(bid, -1)));
        assertEquals("+OK", producer.call("BATCH COMMIT " + bid));
        assertEquals("job-00001", worker.fetch("q", 2_000));
        CountDownLatch held =
                redis.trapNext(
                        words ->
                                words.get(0).equalsIgnoreCase("SET")
                                        && words.get(1).contains(bid + "-complete"),
                        TrapAction.IGNORE_AND_HANG);
        worker.peer().send("FAIL {\"jid\":\"job-00001\",\"errtype\":\"E\",\"message\":\"m\"}\r\n");
        assertTrue(held.await(5, TimeUnit.SECONDS));
        server.killAndStart();
        FaktoryPeer after = producer();
        FaktoryPeer other = peer("w2");
        assertEquals(bid + "-complete", other.fetch("cb", 4_000));
        assertEquals("+OK", other.ack(bid + "-complete"));
        assertNull(other.fetch("cb", 0), "no success callback while a job is dead");
        assertEquals("dead", after.state("job-00001"));
        assertEquals("+OK", after.mutate("requeue", "dead", "job-00001"));
        assertEquals("job-00001", other.fetch("q", 2_000));
        assertEquals("+OK", other.ack("job-00001"));
        assertEquals(bid + "-success", other.fetch("cb", 2_000));
        assertEquals("+OK", other.ack(bid + "-success"));
        assertEquals(
                "2", JSON.readTree(after.call("BATCH STATUS " + bid)).path("success_st").asText());
    }

    @Test
    void acceptsFurtherJobsOfOpenBatchAfterRestart() throws Exception {
        FaktoryPeer producer = producer();
        String bid = createBatch(producer);
        assertEquals("+OK", producer.plain("job-00001", jobOptions(bid, 25)));
        server.killAndStart();
        FaktoryPeer after = producer();
        FaktoryPeer worker = peer("w1");
        assertEquals("+OK", after.plain("job-00002", jobOptions(bid, 25)));
        for (int i = 0; i < 2; i++) {
            String jid = worker.fetch("q", 3_000);
            assertTrue(jid.startsWith("job-0000"), jid);
            assertEquals("+OK", worker.ack(jid));
        }
        assertNull(worker.fetch("cb", 0));
        JsonNode status = JSON.readTree(after.call("BATCH STATUS " + bid));
        assertEquals(2, status.path("total").asInt(), status.toString());
        assertEquals("+OK", after.call("BATCH COMMIT " + bid));
        assertEquals(bid + "-complete", worker.fetch("cb", 2_000));
    }
}
