package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.Program;
import damsonslip.testkit.RedisStandIn;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The real program as a Faktory server, between producers, workers and a store that this test
 * plays.
 */
class FaktoryTest {
    private static final String PASSWORD = "s3cret";

    @TempDir Path dir;
    private RedisStandIn redis;
    private FaktoryServer server;

    @BeforeEach
    void start() throws IOException {
        redis = new RedisStandIn();
        server = new FaktoryServer(dir, FaktoryServer.address(redis), PASSWORD);
        server.closing(redis);
        server.start();
    }

    @AfterEach
    void end() throws Exception {
        server.close();
    }

    private FaktoryPeer producer() throws IOException {
        return peer("");
    }

    private FaktoryPeer peer(String wid) throws IOException {
        return server.peer(wid);
    }

    @Test
    void aJobGoesFromItsPushToItsFinalState() throws Exception {
        FaktoryPeer producer = producer();
        assertEquals("+OK", producer.push("job-00001", "apply-submit", 4, ""));
        FaktoryPeer worker = peer("w1");
        assertEquals("job-00001", worker.fetch());
        assertEquals("working", producer.state("job-00001"));
        assertEquals("+OK", worker.ack("job-00001"));
        FaktoryServer.awaitState(producer, "job-00001", "success");
        assertEquals("unknown", producer.state("job-99999"));
        assertEquals(1, producer.info().path("faktory").path("total_processed").asInt());
        assertEquals("{}", producer.call("PUSHB []"));
    }

    @Test
    void whatIsNotInOrderGetsAPlainError() throws Exception {
        assertThrows(IOException.class, () -> new FaktoryPeer(server.port, "", "wrong"));
        FaktoryPeer producer = producer();
        assertTrue(
                producer.push("job-00001", "no-such", 4, "").startsWith("-MALFORMED custom.class"));
        assertTrue(producer.push("short", "apply-submit", 4, "").startsWith("-MALFORMED jid"));
        assertTrue(producer.call("PUSH {").startsWith("-ERR not JSON"));
        assertTrue(producer.call("JUMP").startsWith("-ERR unknown command JUMP"));
        assertTrue(producer.call("FETCH default").startsWith("-ERR"));
        assertTrue(producer.call("PUSHB [{\"jid\":\"job-00002\"}]").contains("jobtype is missing"));
        assertEquals(
                "+OK",
                producer.push("job-00003", "status-read", 1, ""),
                "and the connection goes on");
    }

    /** Each is refused and its connection ended; a plain client does not notice. */
    @Test
    void wrongPasswordsInALoopCostNobodyElse() throws Exception {
        FaktoryPeer producer = producer();
        for (int i = 0; i < 300; i++) {
            int tried = i;
            IOException refused =
                    assertThrows(
                            IOException.class,
                            () -> new FaktoryPeer(server.port, "", "wrong" + tried).close());
            assertEquals("-ERR invalid password", refused.getMessage());
        }
        long from = System.nanoTime();
        assertEquals("+OK", producer.push("job-00001", "status-read", 4, ""));
        assertTrue(System.nanoTime() - from < 500_000_000L);
        assertEquals(300, producer.info().path("counters").path("passwords_wrong").asInt());
        Program.await(
                "their connections are gone",
                () -> {
                    try {
                        return producer.info().path("server").path("connections").asInt() <= 2;
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
    }

    /**
     * A worker is chosen among those that fetch a job's queue, though the module's pools know
     * nothing of queues.
     */
    @Test
    void aJobGoesOnlyWhereItsQueueIsFetched() throws Exception {
        FaktoryPeer producer = producer();
        List<FaktoryPeer> others = new ArrayList<>();
        for (int i = 0; i < 6; i++) { // so many that each class's pool holds some of these
            others.add(peer("other" + i));
            others.get(i).peer().send("FETCH elsewhere\r\n");
        }
        FaktoryPeer fits = peer("fits");
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    "+OK", producer.push("job-0000" + i, "status-read", 4, ",\"queue\":\"here\""));
            assertEquals("job-0000" + i, fits.fetch("here", 0), "at the first FETCH");
            fits.ack("job-0000" + i);
        }
        assertEquals(
                5,
                producer.info().path("counters").path("executions_sent").asInt(),
                "nobody else was tried");
    }

    /**
     * The worker may be at it still: whatever the retry count says, nobody else may get the job.
     */
    @Test
    void anApplySubmitWhoseWorkerGoesSilentEndsFailedAndNeverRunsAgain() throws Exception {
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
        assertEquals("+OK", silent.ack("job-00001"), "a late word is taken");
        assertEquals("dead", producer.state("job-00001"), "and changes nothing");
        assertEquals(1, producer.info().path("counters").path("words_late").asInt());
    }

    @Test
    void aFailedRunIsRepeatedAsItsClassAndItsRetryCountAllow() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        producer.push("job-safe1", "status-read", 5, ",\"retry\":1");
        assertEquals("job-safe1", worker.fetch());
        worker.fail("job-safe1");
        assertEquals("job-safe1", worker.fetch());
        worker.fail("job-safe1");
        assertNull(worker.fetch(), "one retry was granted");
        FaktoryServer.awaitState(producer, "job-safe1", "failed");
        producer.push("job-once1", "apply-submit", 5, ",\"retry\":25");
        assertEquals("job-once1", worker.fetch());
        worker.fail("job-once1");
        FaktoryServer.awaitState(producer, "job-once1", "dead");
        assertNull(worker.fetch());
    }

    @Test
    void aRepeatedPushRunsOnce() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        assertEquals("+OK", producer.push("job-00001", "apply-submit", 5, ""));
        assertEquals("+OK", producer.push("job-00001", "apply-submit", 5, ""));
        assertEquals("job-00001", worker.fetch());
        worker.ack("job-00001");
        FaktoryServer.awaitState(producer, "job-00001", "success");
        assertEquals("+OK", producer.push("job-00001", "apply-submit", 5, ""));
        assertNull(worker.fetch());
    }

    /**
     * A quiet worker finishes what it has; a fetch that already waits must not bring it anything
     * new.
     */
    @Test
    void aQuietWorkerGetsNothingNew() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer waiting = peer("w1");
        FaktoryPeer beating = peer("w1");
        List<String> fetched = new ArrayList<>();
        Thread fetch =
                new Thread(
                        () -> {
                            try {
                                fetched.add(waiting.fetch());
                            } catch (IOException e) {
                                fetched.add(e.toString());
                            }
                        });
        fetch.start();
        Thread.sleep(300);
        assertEquals("+OK", beating.call("BEAT {\"wid\":\"w1\",\"current_state\":\"quiet\"}"));
        assertEquals("+OK", producer.push("job-00001", "status-read", 3, ""));
        fetch.join();
        assertNull(fetched.get(0));
        assertNull(waiting.fetch());
        assertEquals("job-00001", peer("w2").fetch());
    }

    /**
     * Between a fetch and its word: what the store calls reserved may have run, what it calls
     * queued did not.
     */
    @Test
    void aRestartHalfwayThroughAFetchRunsNothingTwice() throws Exception {
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
    void whileTheStoreIsDownNothingIsTakenOrHandedOut() throws Exception {
        FaktoryPeer producer = producer();
        assertEquals("+OK", producer.push("job-00001", "apply-submit", 1.5, ""));
        redis.down();
        assertTrue(
                producer.push("job-00002", "apply-submit", 5, "")
                        .startsWith("-ERR the store is down"));
        FaktoryPeer worker = peer("w1");
        assertNull(worker.fetch());
        redis.up();
        Program.await(
                "pushes are taken again",
                () -> {
                    try {
                        return "+OK".equals(producer.push("job-00003", "apply-submit", 5, ""));
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
        FaktoryServer.awaitState(
                producer,
                "job-00001",
                "failed"); // asked of the store, which is known to be up by now
        assertEquals("job-00003", worker.fetch());
    }

    /**
     * A worker without any connection is gone: what may be repeated runs elsewhere, long before its
     * deadline.
     */
    @Test
    void aVanishedWorkersJobIsRepeatedWhereItsClassAllows() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer vanishing = peer("w1");
        producer.push("job-safe1", "status-read", 8, "");
        assertEquals("job-safe1", vanishing.fetch());
        vanishing.close();
        FaktoryPeer other = peer("w2");
        String jid = other.fetch();
        assertEquals("job-safe1", jid == null ? other.fetch() : jid);
        other.ack("job-safe1");
        FaktoryServer.awaitState(producer, "job-safe1", "success");
    }

    @Test
    void aRefusalAtTheDoorSaysWhenToComeBack() throws Exception {
        FaktoryPeer producer = producer();
        String said = "+OK";
        for (int i = 0; i < 60 && said.equals("+OK"); i++) {
            said = producer.push("job-0000" + i, "status-read", 30, "");
        }
        assertTrue(said.matches("-ERR throttled, retry after [0-9.]+ s"), said);
    }

    @Test
    void aStopWaitsForWorkersWordsAndLeavesTheRestInTheStore() throws Exception {
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
