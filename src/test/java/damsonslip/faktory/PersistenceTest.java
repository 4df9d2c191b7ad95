package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import org.junit.jupiter.api.Test;

/** What the store has recorded decides what runs after a restart, and what is accepted. */
class PersistenceTest extends FaktoryProgramFixture {
    PersistenceTest() {
        super(PASSWORD);
    }

    /**
     * Between a fetch and its word: what the store calls reserved may have run, what it calls
     * queued did not.
     */
    @Test
    void runsNothingTwiceAfterRestartDuringFetch() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        producer.push("job-told1", "apply-submit", 8, "");
        assertEquals("job-told1", worker.fetch());
        producer.push("job-lost1", "apply-submit", 5, "");
        assertEquals(
                "job-lost1",
                peer("w3").fetch()); // the first one is cold, and full with what it has
        producer.push("job-held1", "apply-submit", 8, "");
        server.killAndStart();
        FaktoryPeer after = producer();
        FaktoryPeer other = peer("w2");
        assertEquals("job-held1", other.fetch());
        other.ack("job-held1");
        FaktoryServer.awaitState(after, "job-held1", "success");
        assertEquals("+OK", peer("w1").ack("job-told1"), "its own worker may still tell");
        FaktoryServer.awaitState(after, "job-told1", "success");
        assertNull(other.fetch());
        FaktoryServer.awaitState(after, "job-lost1", "dead");
        assertNull(other.fetch());
    }

    /** Nothing is taken and nothing is handed out that the store does not know of. */
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
                "pushes are taken again",
                () -> "+OK".equals(producer.push("job-00003", "apply-submit", 5, "")));
        FaktoryServer.awaitState(
                producer,
                "job-00001",
                "failed"); // asked of the store, which is known to be up by now
        assertEquals("job-00003", worker.fetch());
    }

    @Test
    void awaitsReportsInGracefulShutdownAndLeavesTheRestInTheStore() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        producer.push("job-00001", "apply-submit", 5, "");
        assertEquals("job-00001", worker.fetch());
        server.program().terminate();
        Thread.sleep(600);
        worker.ack("job-00001");
        assertEquals(143, server.program().exit());
        assertTrue(server.program().said().contains("answers_served=1"), server.program().said());
        server.start();
        assertEquals("success", producer().state("job-00001"));
    }
}
