package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import org.junit.jupiter.api.Test;

/** Tests the retries of jobs that a client waits for. */
class AwaitedJobRetryTest extends FaktoryProgramFixture {
    AwaitedJobRetryTest() {
        super(PASSWORD);
    }

    /**
     * A silent worker may still be running a non-idempotent job: no other worker gets the job,
     * whatever its retry limit.
     */
    @Test
    void doesNotRetryNonIdempotentJobOfSilentWorker() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer silent = peer("w1");
        assertEquals(
                "+OK",
                producer.push("job-00001", "apply-submit", 1.5, ",\"retry\":25,\"reserve_for\":1"));
        assertEquals("job-00001", silent.fetch());
        FaktoryPeer other = peer("w2");
        assertNull(other.fetch());
        FaktoryServer.awaitState(producer, "job-00001", "dead");
        assertNull(other.fetch());
        assertEquals("+OK", silent.ack("job-00001"), "a late report is accepted");
        assertEquals("dead", producer.state("job-00001"), "and changes nothing");
        assertEquals(1, producer.info().path("counters").path("words_late").asInt());
    }

    @Test
    void retriesFailedRunAsClassAndRetryLimitAllow() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        producer.push("job-safe1", "status-read", 5, ",\"retry\":1");
        assertEquals("job-safe1", worker.fetch());
        worker.fail("job-safe1");
        assertEquals("job-safe1", worker.fetch());
        worker.fail("job-safe1");
        assertNull(worker.fetch(), "only one retry is allowed");
        FaktoryServer.awaitState(producer, "job-safe1", "failed");
        producer.push("job-once1", "apply-submit", 5, ",\"retry\":25");
        assertEquals("job-once1", worker.fetch());
        worker.fail("job-once1");
        FaktoryServer.awaitState(producer, "job-once1", "dead");
        assertNull(worker.fetch());
    }

    /**
     * A worker whose connections are all closed is removed; its idempotent job is retried on
     * another worker long before the deadline.
     */
    @Test
    void retriesIdempotentJobOfDisconnectedWorker() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer disconnecting = peer("w1");
        producer.push("job-safe1", "status-read", 8, "");
        assertEquals("job-safe1", disconnecting.fetch());
        disconnecting.close();
        FaktoryPeer other = peer("w2");
        String jid = other.fetch();
        assertEquals("job-safe1", jid == null ? other.fetch() : jid);
        other.ack("job-safe1");
        FaktoryServer.awaitState(producer, "job-safe1", "success");
    }
}
