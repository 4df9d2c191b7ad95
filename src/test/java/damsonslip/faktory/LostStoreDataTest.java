package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against what a store without its data seems to say: that a job is new and has never run,
 * or that it waits, though it has no content any more.
 */
class LostStoreDataTest extends FaktoryProgramFixture {
    private static final String QUEUE = ",\"queue\":\"q\"";

    /** Options in the push of a job that must not run twice. */
    private static final String ONCE = QUEUE + ",\"custom\":{\"class\":\"apply-submit\"}";

    /** Longer than the interval of the heartbeats by which a loss is detected. */
    private static final long LONGEST_UNDETECTED_MS = 1_500;

    private static final long NO_WAIT_MS = 0;
    private static final long WAIT_MS = 2_000;
    private static final String BATCH =
            "{\"description\":\"d\",\"success\":{\"jobtype\":\"t\",\"args\":[]}}";

    private static final int LOST_JOBS = 60;
    private static final int ENDED_JOBS = 40;

    LostStoreDataTest() {
        super(NO_PASSWORD);
    }

    private void wipe() throws Exception {
        redis.down();
        redis.wipe();
        redis.up();
    }

    private void awaitDetection() {
        await("the loss is noticed", () -> server.program().output().contains("store_data_lost"));
    }

    /** Each time the store may be unavailable at first. */
    private void push(FaktoryPeer producer, String jid, String options) {
        await(jid + " is taken", () -> "+OK".equals(producer.plain(jid, options)));
    }

    private FaktoryPeer worker(String wid) throws IOException {
        return peer(wid);
    }

    private void run(FaktoryPeer worker, String jid) throws IOException {
        assertEquals(jid, worker.fetch("q", WAIT_MS));
        assertEquals("+OK", worker.ack(jid));
    }

    /** The store had forgotten that the job has ended, so that it counted as new. */
    @Test
    void repeatedPushOfEndedJobRunsNothing() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = worker("w1");
        push(producer, "job-00001", ONCE);
        run(worker, "job-00001");
        wipe();
        push(producer, "job-00001", ONCE);
        assertNull(worker.fetch("q", NO_WAIT_MS), "it would run a second time");
        push(producer, "job-00002", ONCE);
        run(worker, "job-00002");
    }

    /** A kill after the reply left the store without a copy of what the process remembered. */
    @Test
    void endedJobIsInTheCopyOnceItsReportIsAcknowledged() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = worker("w1");
        for (int i = 1; i <= ENDED_JOBS; i++) {
            String jid = "job-1000" + i;
            push(producer, jid, ONCE);
            run(worker, jid);
            long inCopy =
                    redis.entries().stream()
                            .filter(entry -> entry.get(1).contains(":ended:"))
                            .count();
            assertEquals(i, inCopy);
        }
    }

    /** The next process knows only what the store says, which has to be put right before. */
    @Test
    void endedJobsAreKnownAfterRestartToo() throws Exception {
        FaktoryPeer producer = producer();
        push(producer, "job-00001", ONCE);
        run(worker("w1"), "job-00001");
        wipe();
        awaitDetection();
        Thread.sleep(LONGEST_UNDETECTED_MS);
        server.killAndStart();
        push(producer(), "job-00001", ONCE);
        assertNull(worker("w2").fetch("q", NO_WAIT_MS), "it would run a second time");
    }

    /** The repeated push had put a job that never ran in the place of the one that runs. */
    @Test
    void repeatedPushOfRunningJobLeavesItReserved() throws Exception {
        FaktoryPeer producer = producer();
        push(producer, "job-00001", ONCE);
        assertEquals("job-00001", worker("w1").fetch("q", WAIT_MS));
        wipe();
        push(producer, "job-00001", ONCE);
        server.killAndStart();
        assertNull(worker("w2").fetch("q", NO_WAIT_MS), "it would run a second time");
    }

    /** An older copy of the store has a job as waiting that has ended since. */
    @Test
    void jobThatEndedAfterTheCopyIsNotRunAgain() throws Exception {
        FaktoryPeer producer = producer();
        push(producer, "job-00001", ONCE);
        Thread.sleep(LONGEST_UNDETECTED_MS);
        List<List<String>> copy = redis.entries();
        run(worker("w1"), "job-00001");
        Thread.sleep(LONGEST_UNDETECTED_MS);
        redis.down();
        redis.wipe();
        redis.addEntries(copy);
        redis.up();
        awaitDetection();
        Thread.sleep(LONGEST_UNDETECTED_MS);
        server.killAndStart();
        assertNull(worker("w2").fetch("q", NO_WAIT_MS), "it would run a second time");
        assertEquals("discarded", producer().state("job-00001"));
    }

    /** A store that crashes may lose its latest writes, but not the heartbeat before them. */
    @Test
    void latestWritesAreRepeatedAfterAnOutage() throws Exception {
        FaktoryPeer producer = producer();
        push(producer, "job-00001", ONCE);
        List<List<String>> copy = redis.entries();
        FaktoryPeer worker = worker("w1");
        run(worker, "job-00001");
        redis.down();
        redis.wipe();
        redis.addEntries(copy);
        redis.up();
        push(producer, "job-00002", ONCE);
        Thread.sleep(LONGEST_UNDETECTED_MS);
        server.killAndStart();
        run(worker("w2"), "job-00002");
        assertNull(worker("w2").fetch("q", NO_WAIT_MS), "it would run a second time");
    }

    /** They were tried again and again, and nothing behind them was handed out. */
    @Test
    void jobsWithoutContentDoNotHoldUpLaterOnes() throws Exception {
        FaktoryPeer producer = producer();
        for (int i = 0; i < LOST_JOBS; i++) {
            push(producer, "job-lost-" + (100 + i), QUEUE);
        }
        wipe();
        push(producer, "job-00001", QUEUE);
        FaktoryPeer worker = worker("w1");
        run(worker, "job-00001");
        FaktoryServer.awaitState(producer, "job-lost-100", "failed");
        push(producer, "job-lost-100", QUEUE);
        run(worker, "job-lost-100");
    }

    @Test
    void pausedQueuesAndBatchesAreWrittenAgain() throws Exception {
        FaktoryPeer producer = producer();
        assertEquals("+OK", producer.call("QUEUE PAUSE q"));
        String bid = producer.call("BATCH NEW " + BATCH);
        wipe();
        awaitDetection();
        Thread.sleep(LONGEST_UNDETECTED_MS);
        server.killAndStart();
        push(producer(), "job-00001", QUEUE);
        assertNull(worker("w1").fetch("q", NO_WAIT_MS), "the queue is paused");
        String status = producer().call("BATCH STATUS " + bid);
        assertEquals(false, status.startsWith("-ERR"), status);
    }
}
