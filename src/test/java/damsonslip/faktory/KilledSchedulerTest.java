package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.Program;
import damsonslip.testkit.RedisStandIn.TrapAction;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Tests the recovery from the store after the scheduler is killed at each step of a reservation.
 */
class KilledSchedulerTest extends FaktoryProgramFixture {
    /** Options in the push of a job that must not run twice. */
    private static final String NOT_IDEMPOTENT =
            ",\"queue\":\"q\",\"custom\":{\"class\":\"apply-submit\"}";

    KilledSchedulerTest() {
        super(NO_PASSWORD, "least_reserve_s = 60", "least_reserve_s = 1");
    }

    private static boolean isReserving(List<String> words) {
        return words.get(0).equalsIgnoreCase("SET") && words.get(2).contains("RESERVED");
    }

    /**
     * The scheduler is killed before the store has recorded the reservation: the job was provably
     * not handed out, so it runs after the restart.
     */
    @Test
    void runsJobIfKilledBeforeReservationIsRecorded() throws Exception {
        FaktoryPeer producer = producer();
        CountDownLatch trapped =
                redis.trapNext(KilledSchedulerTest::isReserving, TrapAction.IGNORE_AND_HANG);
        assertEquals("+OK", producer.plain("job-once1", NOT_IDEMPOTENT));
        peer("w1").peer().send("FETCH q\r\n");
        assertTrue(trapped.await(5, TimeUnit.SECONDS));
        server.killAndStart();
        FaktoryPeer worker = peer("w2");
        assertEquals("job-once1", worker.fetch("q", 3_000));
        assertEquals("+OK", worker.ack("job-once1"));
        FaktoryServer.awaitState(producer(), "job-once1", "success");
    }

    /**
     * The scheduler is killed after the store has recorded the reservation: the job may have been
     * handed out, so no other worker gets it, and its own worker's report is still accepted.
     */
    @Test
    void doesNotRepeatJobIfKilledAfterReservationIsRecorded() throws Exception {
        FaktoryPeer producer = producer();
        CountDownLatch trapped =
                redis.trapNext(KilledSchedulerTest::isReserving, TrapAction.EXECUTE_AND_HANG);
        assertEquals("+OK", producer.plain("job-once1", NOT_IDEMPOTENT));
        peer("w1").peer().send("FETCH q\r\n");
        assertTrue(trapped.await(5, TimeUnit.SECONDS));
        server.killAndStart();
        FaktoryPeer after = producer();
        assertEquals("working", after.state("job-once1"));
        assertNull(peer("w2").fetch("q", 0));
        assertEquals("+OK", peer("w1").ack("job-once1"));
        FaktoryServer.awaitState(after, "job-once1", "success");
    }

    /**
     * The scheduler is killed during the reply to FETCH, of which the worker has read enough to run
     * the job.
     */
    @Test
    void acceptsAcknowledgementIfKilledDuringReplyToFetch() throws Exception {
        FaktoryPeer producer = producer();
        String big = NOT_IDEMPOTENT.replace("}", ",\"filler\":\"" + "x".repeat(900_000) + "\"}");
        assertEquals("+OK", producer.plain("job-once1", big));
        assertEquals("+OK", producer.plain("job-safe1", ",\"queue\":\"q\""));
        FaktoryPeer worker = peer("w1");
        worker.peer().send("FETCH q\r\n");
        assertTrue(worker.peer().line().startsWith("$9"));
        worker.peer().bytes(1_000);
        server.killAndStart();
        FaktoryPeer after = producer();
        FaktoryPeer reconnected = peer("w1");
        assertEquals("+OK", reconnected.ack("job-once1"));
        FaktoryServer.awaitState(after, "job-once1", "success");
        assertEquals(
                "job-safe1",
                reconnected.fetch("q", 3_000),
                "the job that was not handed out is not lost");
        assertNull(reconnected.fetch("q", 0));
    }

    /**
     * A job that is pushed to two schedulers with a shared store belongs to the first; the other
     * does not recover it after a restart.
     */
    @Test
    void recoversJobOfSharedStoreOnlyOnItsOwner() throws Exception {
        int otherPort = Program.freePort();
        Program second = server.start(otherPort, "other-desk");
        assertEquals("+OK", producer().plain("job-once1", NOT_IDEMPOTENT));
        try (FaktoryPeer there = new FaktoryPeer(otherPort, "", "")) {
            assertEquals("+OK", there.plain("job-once1", NOT_IDEMPOTENT));
        }
        second.kill();
        second.exit();
        assertTrue(server.start(otherPort, "other-desk").output().contains("0 jobs taken up"));
        try (FaktoryPeer worker = new FaktoryPeer(otherPort, "w9", "")) {
            assertNull(worker.fetch("q", 0));
        }
        assertEquals("job-once1", peer("w1").fetch("q", 2_000));
    }

    /** An unreadable record is logged and left in the store; the other jobs are recovered. */
    @Test
    void recoversOtherJobsBesideUnreadableRecord() throws Exception {
        assertEquals("+OK", producer().plain("job-00001", ",\"queue\":\"q\""));
        assertEquals("+OK", producer().plain("job-00002", ",\"queue\":\"q\""));
        redis.put(
                "damsonslip:job:job-00001",
                "school-desk\n{\"id\":\"job-00001\",\"state\":\"QUEUED\",\"job\":\"{}\"}");
        server.killAndStart();
        assertTrue(
                server.program().output().contains("1 jobs taken up"), server.program().output());
        assertTrue(
                server.program().output().contains("left in the store"), server.program().output());
        assertEquals("job-00002", peer("w1").fetch("q", 2_000));
    }
}
