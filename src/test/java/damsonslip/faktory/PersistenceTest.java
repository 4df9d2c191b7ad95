package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import org.junit.jupiter.api.Test;

/** Tests what runs after a restart, by the store, and what is accepted while the store is down. */
class PersistenceTest extends FaktoryProgramFixture {
    PersistenceTest() {
        super(PASSWORD);
    }

    /**
     * The scheduler restarts between a FETCH and its report: a job stored as reserved may have run,
     * one stored as queued has not.
     */
    @Test
    void runsNothingTwiceAfterRestartDuringFetch() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        producer.push("job-done1", "apply-submit", 8, "");
        assertEquals("job-done1", worker.fetch());
        producer.push("job-lost1", "apply-submit", 5, "");
        assertEquals(
                "job-lost1",
                peer("w3").fetch()); // the first worker is warming up and full with one job
        producer.push("job-held1", "apply-submit", 8, "");
        server.killAndStart();
        FaktoryPeer after = producer();
        FaktoryPeer other = peer("w2");
        assertEquals("job-held1", other.fetch());
        other.ack("job-held1");
        FaktoryServer.awaitState(after, "job-held1", "success");
        assertEquals(
                "+OK",
                peer("w1").ack("job-done1"),
                "the report of its own worker is still accepted");
        FaktoryServer.awaitState(after, "job-done1", "success");
        assertNull(other.fetch());
        FaktoryServer.awaitState(after, "job-lost1", "dead");
        assertNull(other.fetch());
    }

    /** No job is accepted or handed out unless the store has recorded that. */
    @Test
    void acceptsAndHandsOutNothingWhileStoreIsDown() throws Exception {
        FaktoryPeer producer = producer();
        assertEquals("+OK", producer.push("job-00001", "apply-submit", 1.5, ""));
        redis.down();
        assertTrue(
                producer.push("job-00002", "apply-submit", 5, "")
                        .startsWith("-ERR the store is down"));
        FaktoryPeer worker = peer("w1");
        assertNull(worker.fetch());
        redis.up();
        await(
                "pushes are accepted again",
                () -> "+OK".equals(producer.push("job-00003", "apply-submit", 5, "")));
        FaktoryServer.awaitState(
                producer, "job-00001", "failed"); // read from the store, which is available by now
        assertEquals("job-00003", worker.fetch());
    }

    @Test
    void awaitsReportsInGracefulShutdown() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        producer.push("job-00001", "apply-submit", 5, "");
        assertEquals("job-00001", worker.fetch());
        server.program().terminate();
        Thread.sleep(600);
        worker.ack("job-00001");
        assertEquals(143, server.program().exit());
        assertTrue(
                server.program().output().contains("answers_served=1"), server.program().output());
        server.start();
        assertEquals("success", producer().state("job-00001"));
    }
}
