package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.Program;
import damsonslip.testkit.RedisStandIn;
import damsonslip.testkit.RedisStandIn.Then;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Failures and loads that the Faktory front is made for, caused on purpose: by peers, by the store,
 * by kill.
 */
class HardCasesTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ONCE = ",\"queue\":\"q\",\"custom\":{\"class\":\"apply-submit\"}";

    @TempDir Path dir;
    private RedisStandIn redis;
    private FaktoryServer server;

    @BeforeEach
    void start() throws IOException {
        redis = new RedisStandIn();
        server = new FaktoryServer(dir, redis, "least_reserve_s = 60", "least_reserve_s = 1");
        server.closing(redis);
        server.start();
    }

    @AfterEach
    void end() throws Exception {
        server.close();
    }

    private FaktoryPeer peer(String wid) throws IOException {
        return server.peer(wid);
    }

    // ---- what must not run twice

    /**
     * However its worker ends with it, and whoever asks for it again, an apply-submit runs once.
     */
    @ParameterizedTest
    @ValueSource(strings = {"fails", "lapses", "goes"})
    void anApplySubmitThatMayHaveRunNeverRunsAgain(String how) throws Exception {
        FaktoryPeer producer = peer("");
        FaktoryPeer worker = peer("w1");
        assertEquals("+OK", producer.plain("job-once1", ONCE + ",\"retry\":25,\"reserve_for\":1"));
        assertEquals("job-once1", worker.fetch("q", 2_000));
        switch (how) {
            case "fails" -> assertEquals("+OK", worker.fail("job-once1"));
            case "goes" -> worker.close();
            default -> Thread.sleep(1_100); // its reservation runs out
        }
        FaktoryServer.awaitState(producer, "job-once1", "dead");
        assertTrue(producer.track("job-once1").path("desc").asText().contains("may have run"));
        assertEquals(1, producer.size("Dead"));
        String told = producer.mutate("requeue", "dead", "job-once1");
        assertTrue(told.startsWith("-ERR 1 of 1 may have run"), told);
        assertEquals("+OK", producer.plain("job-once1", ONCE), "a repeated push changes nothing");
        server.killAndStart();
        FaktoryPeer after = peer("");
        FaktoryPeer other = peer("w2");
        assertNull(other.fetch("q", 0));
        assertEquals("+OK", after.mutate("discard", "dead", "job-once1"));
        assertEquals("+OK", after.plain("job-once1", ONCE), "not even once it was thrown away");
        assertNull(other.fetch("q", 0));
        assertEquals("discarded", after.state("job-once1"));
    }

    // ---- the scheduler is killed

    private static boolean isReserving(List<String> words) {
        return words.get(0).equalsIgnoreCase("SET") && words.get(2).contains("RESERVED");
    }

    /**
     * Killed before the store knows of the hand-out: the job provably never left, and runs after
     * the start.
     */
    @Test
    void killedBetweenChoosingAndRecordingTheJobRunsAfterwards() throws Exception {
        FaktoryPeer producer = peer("");
        CountDownLatch held = redis.trap(HardCasesTest::isReserving, Then.HOLD_UNDONE);
        assertEquals("+OK", producer.plain("job-once1", ONCE));
        peer("w1").peer().send("FETCH q\r\n");
        assertTrue(held.await(5, TimeUnit.SECONDS));
        server.killAndStart();
        FaktoryPeer worker = peer("w2");
        assertEquals("job-once1", worker.fetch("q", 3_000));
        assertEquals("+OK", worker.ack("job-once1"));
        FaktoryServer.awaitState(peer(""), "job-once1", "success");
    }

    /**
     * Killed after that: it may have left, so that nobody else gets it; its own worker's word still
     * counts.
     */
    @Test
    void killedBetweenRecordingAndHandingOutTheJobIsNotRunAgain() throws Exception {
        FaktoryPeer producer = peer("");
        CountDownLatch held = redis.trap(HardCasesTest::isReserving, Then.DO_AND_HOLD);
        assertEquals("+OK", producer.plain("job-once1", ONCE));
        peer("w1").peer().send("FETCH q\r\n");
        assertTrue(held.await(5, TimeUnit.SECONDS));
        server.killAndStart();
        FaktoryPeer after = peer("");
        assertEquals("working", after.state("job-once1"));
        assertNull(peer("w2").fetch("q", 0));
        assertEquals("+OK", peer("w1").ack("job-once1"));
        FaktoryServer.awaitState(after, "job-once1", "success");
    }

    /**
     * Killed halfway through the reply to FETCH; the worker had read enough of it to do the job.
     */
    @Test
    void killedInTheMiddleOfAReplyTheAckOfTheSameWorkerEndsTheJob() throws Exception {
        FaktoryPeer producer = peer("");
        String big = ONCE.replace("}", ",\"filler\":\"" + "x".repeat(900_000) + "\"}");
        assertEquals("+OK", producer.plain("job-once1", big));
        assertEquals("+OK", producer.plain("job-safe1", ",\"queue\":\"q\""));
        FaktoryPeer worker = peer("w1");
        worker.peer().send("FETCH q\r\n");
        assertTrue(worker.peer().line().startsWith("$9"));
        worker.peer().bytes(1_000);
        server.killAndStart();
        FaktoryPeer after = peer("");
        FaktoryPeer back = peer("w1");
        assertEquals("+OK", back.ack("job-once1"));
        FaktoryServer.awaitState(after, "job-once1", "success");
        assertEquals(
                "job-safe1", back.fetch("q", 3_000), "what had not been handed out is not lost");
        assertNull(back.fetch("q", 0));
    }

    // ---- words that cross

    @Test
    void theSameJobPushedAtOnceOnTwoConnectionsIsOneJob() throws Exception {
        FaktoryPeer one = peer("");
        FaktoryPeer two = peer("");
        for (int i = 10; i < 30; i++) {
            String push =
                    "PUSH {\"jid\":\"job-000"
                            + i
                            + "\",\"jobtype\":\"t\",\"args\":[],\"queue\":\"q\"}\r\n";
            one.peer().send(push);
            two.peer().send(push);
            assertEquals("+OK", one.peer().line());
            assertEquals("+OK", two.peer().line());
        }
        assertEquals(20, one.info().path("faktory").path("queues").path("q").asInt());
        assertEquals(20, one.info().path("counters").path("pushes_repeated").asInt());
    }

    @Test
    void wordsThatCrossOrComeFromOthersChangeNothing() throws Exception {
        FaktoryPeer producer = peer("");
        FaktoryPeer worker = peer("w1");
        FaktoryPeer other = peer("w2");
        producer.plain("job-00001", ",\"queue\":\"q\"");
        assertEquals("job-00001", worker.fetch("q", 2_000));
        assertEquals("+OK", other.ack("job-00001"), "not its own");
        assertEquals("working", producer.state("job-00001"));
        worker.peer()
                .send(
                        "ACK {\"jid\":\"job-00001\"}\r\n"
                            + "FAIL {\"jid\":\"job-00001\",\"errtype\":\"E\",\"message\":\"m\"}\r\n"
                            + "ACK {\"jid\":\"job-00001\"}\r\n");
        for (int i = 0; i < 3; i++) {
            assertEquals("+OK", worker.peer().line());
        }
        assertEquals("success", producer.state("job-00001"));
        assertEquals(0, producer.size("Retries"));
        assertEquals(3, producer.info().path("counters").path("words_late").asInt());
    }

    /**
     * After its reservation a FAIL says nothing new, but an ACK proves that the job need not run
     * again.
     */
    @Test
    void lateWordsOfAReservationThatRanOut() throws Exception {
        FaktoryPeer producer = peer("");
        FaktoryPeer worker = peer("w1");
        producer.plain("job-00001", ",\"queue\":\"q\",\"reserve_for\":1");
        assertEquals("job-00001", worker.fetch("q", 2_000));
        Program.await(
                "it waits for a retry",
                () -> {
                    try {
                        return producer.size("Retries") == 1;
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
        assertEquals("+OK", worker.fail("job-00001"));
        assertEquals(1, producer.size("Retries"));
        assertEquals("+OK", worker.ack("job-00001"));
        assertEquals(0, producer.size("Retries"));
        assertEquals("success", producer.state("job-00001"));
    }

    /**
     * Pushed to two schedulers on one store, a job belongs to the first; the other does not take it
     * up at a start.
     */
    @Test
    void theSameJobPushedToTwoSchedulersOnOneStoreRunsAtTheFirst() throws Exception {
        int otherPort = Program.freePort();
        Program second = server.start(otherPort, "other-desk");
        assertEquals("+OK", peer("").plain("job-once1", ONCE));
        try (FaktoryPeer there = new FaktoryPeer(otherPort, "", "")) {
            assertEquals("+OK", there.plain("job-once1", ONCE));
        }
        second.kill();
        second.exit();
        assertTrue(server.start(otherPort, "other-desk").said().contains("0 jobs taken up"));
        try (FaktoryPeer worker = new FaktoryPeer(otherPort, "w9", "")) {
            assertNull(worker.fetch("q", 0));
        }
        assertEquals("job-once1", peer("w1").fetch("q", 2_000));
    }

    /**
     * What an earlier version, or a hand, left in the store is told of and left there; the rest is
     * taken up.
     */
    @Test
    void aRecordThatCannotBeReadKeepsNoOtherFromBeingTakenUp() throws Exception {
        assertEquals("+OK", peer("").plain("job-00001", ",\"queue\":\"q\""));
        assertEquals("+OK", peer("").plain("job-00002", ",\"queue\":\"q\""));
        redis.put(
                "damsonslip:job:job-00001",
                "school-desk\n{\"id\":\"job-00001\",\"state\":\"QUEUED\",\"job\":\"{}\"}");
        server.killAndStart();
        assertTrue(server.program().said().contains("1 jobs taken up"), server.program().said());
        assertTrue(server.program().said().contains("left in the store"), server.program().said());
        assertEquals("job-00002", peer("w1").fetch("q", 2_000));
    }

    // ---- load

    /**
     * Ten thousand jobs fall due in one second; status-read, which somebody waits for, keeps its
     * wanted time.
     */
    @Test
    void aBurstOfDueJobsLeavesTheAwaitedOnesTheirTime() throws Exception {
        FaktoryPeer producer = peer("");
        String at = Instant.now().plusSeconds(4).toString();
        for (int part = 0; part < 20; part++) {
            StringBuilder jobs = new StringBuilder("PUSHB [");
            for (int i = 0; i < 500; i++) {
                jobs.append(i == 0 ? "" : ",")
                        .append("{\"jid\":\"later-")
                        .append(part * 500 + i + 10_000)
                        .append("\",\"jobtype\":\"t\",\"args\":[],\"queue\":\"bulk\",\"at\":\"")
                        .append(at)
                        .append("\"}");
            }
            assertEquals("{}", producer.call(jobs + "]"));
        }
        assertEquals(10_000, producer.size("Scheduled"));
        long[] done = new long[1];
        for (int slot = 0; slot < 6; slot++) {
            FaktoryPeer worker = peer("w" + slot % 2);
            daemon(
                    () -> {
                        while (true) {
                            String job = worker.call("FETCH bulk status");
                            if (job != null) {
                                worker.ack(JSON.readTree(job).path("jid").asText());
                                synchronized (done) {
                                    done[0]++;
                                }
                            }
                        }
                    });
        }
        List<Long> took = new ArrayList<>();
        Thread.sleep(
                Math.max(0, Instant.parse(at).toEpochMilli() - System.currentTimeMillis() - 500));
        for (int i = 0; i < 60; i++) {
            long from = System.nanoTime();
            assertEquals(
                    "+OK",
                    producer.push(
                            "status-" + (100 + i), "status-read", 5, ",\"queue\":\"status\""));
            FaktoryServer.awaitState(producer, "status-" + (100 + i), "success");
            took.add((System.nanoTime() - from) / 1_000_000);
            Thread.sleep(25);
        }
        took.sort(null);
        long bulk;
        synchronized (done) {
            bulk = done[0];
        }
        System.out.printf(
                "10,000 due at once: status-read p50 %d ms, worst %d ms; %d of them done"
                        + " meanwhile%n",
                took.get(30), took.get(59), bulk);
        assertTrue(took.get(30) <= 60 && took.get(56) <= 250, "status-read took " + took);
        assertTrue(bulk > 200, "and the others went on: " + bulk);
        assertEquals(0, producer.size("Scheduled"));
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void daemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                return; // the test is over
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    // ---- batches

    private static String batch(FaktoryPeer producer) throws IOException {
        return producer.call(
                "BATCH NEW"
                    + " {\"success\":{\"jobtype\":\"S\",\"args\":[],\"queue\":\"cb\"},\"complete\":"
                    + "{\"jobtype\":\"C\",\"args\":[],\"queue\":\"cb\"}}");
    }

    private static String inside(String bid, int retry) {
        return ",\"queue\":\"q\",\"retry\":" + retry + ",\"custom\":{\"bid\":\"" + bid + "\"}";
    }

    /**
     * Its only job dies, the scheduler is killed before the callback reaches anybody, and it comes
     * all the same, once.
     */
    @Test
    void aBatchWhoseJobsDieAsItsCallbackIsDue() throws Exception {
        FaktoryPeer producer = peer("");
        FaktoryPeer worker = peer("w1");
        String bid = batch(producer);
        assertEquals("+OK", producer.plain("job-00001", inside(bid, -1)));
        assertEquals("+OK", producer.call("BATCH COMMIT " + bid));
        assertEquals("job-00001", worker.fetch("q", 2_000));
        CountDownLatch held =
                redis.trap(
                        words ->
                                words.get(0).equalsIgnoreCase("SET")
                                        && words.get(1).contains(bid + "-complete"),
                        Then.HOLD_UNDONE);
        worker.peer().send("FAIL {\"jid\":\"job-00001\",\"errtype\":\"E\",\"message\":\"m\"}\r\n");
        assertTrue(held.await(5, TimeUnit.SECONDS));
        server.killAndStart();
        FaktoryPeer after = peer("");
        FaktoryPeer other = peer("w2");
        assertEquals(bid + "-complete", other.fetch("cb", 4_000));
        assertEquals("+OK", other.ack(bid + "-complete"));
        assertNull(other.fetch("cb", 0), "no success with a dead job");
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
    void aBatchStillOpenAtARestartGoesOn() throws Exception {
        FaktoryPeer producer = peer("");
        String bid = batch(producer);
        assertEquals("+OK", producer.plain("job-00001", inside(bid, 25)));
        server.killAndStart();
        FaktoryPeer after = peer("");
        FaktoryPeer worker = peer("w1");
        assertEquals("+OK", after.plain("job-00002", inside(bid, 25)));
        for (int i = 0; i < 2; i++) {
            String jid = worker.fetch("q", 3_000);
            assertTrue(jid.startsWith("job-0000"), jid);
            assertEquals("+OK", worker.ack(jid));
        }
        assertNull(worker.fetch("cb", 0));
        JsonNode told = JSON.readTree(after.call("BATCH STATUS " + bid));
        assertEquals(2, told.path("total").asInt(), told.toString());
        assertEquals("+OK", after.call("BATCH COMMIT " + bid));
        assertEquals(bid + "-complete", worker.fetch("cb", 2_000));
    }

    // ---- the store

    /**
     * For five seconds the store says nothing: pushes are refused plainly, and what was
     * acknowledged is all there.
     */
    @ParameterizedTest
    @ValueSource(strings = {"stalls", "errs"})
    void whileTheStoreFailsNothingAcknowledgedIsLost(String how) throws Exception {
        FaktoryPeer producer = peer("");
        FaktoryPeer worker = peer("w1");
        List<String> acknowledged = new ArrayList<>();
        assertEquals("+OK", producer.plain("job-held1", ",\"queue\":\"q\""));
        assertEquals("job-held1", worker.fetch("q", 2_000));
        long until = System.nanoTime() + 5_000_000_000L;
        if (how.equals("stalls")) {
            redis.stall(5_000);
        } else {
            redis.errors(true);
        }
        int refused = 0;
        for (int i = 0; System.nanoTime() < until; i++) {
            String jid = "job-" + (10_000 + i);
            String said = producer.plain(jid, ",\"queue\":\"q\"");
            if (said.equals("+OK")) {
                acknowledged.add(jid);
            } else {
                assertTrue(
                        said.startsWith("-ERR the store is down and the job was not taken"), said);
                refused++;
            }
            Thread.sleep(50);
        }
        String said = worker.ack("job-held1");
        redis.errors(false);
        assertTrue(refused > 5, refused + " were refused");
        Program.await(
                "pushes are taken again",
                () -> {
                    try {
                        return "+OK".equals(producer.plain("job-after1", ",\"queue\":\"q\""));
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
        acknowledged.add("job-after1");
        FaktoryServer.awaitState(producer, "job-held1", "success");
        assertTrue(said.equals("+OK") || said.startsWith("-ERR the store is down"), said);
        Thread.sleep(1_200); // pushes whose answer was lost are taken back
        server.killAndStart();
        FaktoryPeer after = peer("");
        FaktoryPeer other = peer("w2");
        List<String> came = new ArrayList<>();
        for (String jid = other.fetch("q", 2_500); jid != null; jid = other.fetch("q", 0)) {
            came.add(jid);
            other.ack(jid);
        }
        came.sort(null);
        acknowledged.sort(null);
        assertEquals(acknowledged, came, "just what was acknowledged runs");
        assertEquals("success", after.state("job-held1"));
    }

    /**
     * The store takes a job and the answer is lost: pushed again it runs once; not pushed again,
     * not at all.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLostAnswerOfTheStore(boolean again) throws Exception {
        FaktoryPeer producer = peer("");
        CountDownLatch cut =
                redis.trap(
                        words ->
                                words.get(0).equalsIgnoreCase("GET")
                                        && words.get(1).endsWith("job:job-00001"),
                        Then.DO_AND_HANG_UP);
        assertTrue(producer.plain("job-00001", ONCE).startsWith("-ERR the store is down"));
        assertTrue(cut.await(1, TimeUnit.SECONDS));
        if (again) {
            Program.await(
                    "it is taken",
                    () -> {
                        try {
                            return "+OK".equals(producer.plain("job-00001", ONCE));
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                    });
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

    // ---- workers that leave

    @ParameterizedTest
    @ValueSource(strings = {"quiet", "terminate"})
    void aWorkerThatLeavesGetsNothingFromResumedQueuesOrDueJobs(String state) throws Exception {
        FaktoryPeer producer = peer("");
        FaktoryPeer worker = peer("w1");
        FaktoryPeer waits = peer("w1");
        assertEquals("+OK", producer.call("QUEUE PAUSE q"));
        assertEquals("+OK", producer.plain("job-00001", ",\"queue\":\"q\""));
        String at = Instant.now().plusSeconds(2).toString();
        assertEquals("+OK", producer.plain("job-00002", ",\"queue\":\"q\",\"at\":\"" + at + "\""));
        assertEquals("+OK", producer.plain("job-00003", ",\"queue\":\"other\",\"retry\":5"));
        assertEquals("job-00003", worker.fetch("other", 2_000));
        assertEquals("+OK", worker.fail("job-00003"));
        waits.peer().send("FETCH q other\r\n");
        assertEquals(
                "+OK", worker.call("BEAT {\"wid\":\"w1\",\"current_state\":\"" + state + "\"}"));
        assertEquals("+OK", producer.call("QUEUE RESUME *"));
        assertEquals("+OK", producer.mutate("requeue", "retries", "job-00003"));
        assertEquals("$-1", waits.peer().line(), "what waited ends empty");
        assertNull(worker.fetch("q other", 2_500), "nor does a new FETCH bring anything");
        FaktoryPeer other = peer("w2");
        List<String> came = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String jid = other.fetch("q other", 3_000);
            other.ack(jid);
            came.add(jid);
        }
        came.sort(null);
        assertEquals(List.of("job-00001", "job-00002", "job-00003"), came);
    }

    // ---- bad input

    @Test
    void badInputGetsAClearErrorAndCostsNobodyElse() throws Exception {
        FaktoryPeer producer = peer("");
        assertTrue(
                producer.call("PUSH " + "[".repeat(10_000) + "]".repeat(10_000))
                        .startsWith("-ERR not JSON"));
        assertTrue(producer.plain("job-00001", ",\"retry\":1e400").startsWith("-MALFORMED retry"));
        assertTrue(
                producer.plain("job-00001", ",\"reserve_for\":99999999999999999999")
                        .startsWith("-MALFORMED"));
        StringBuilder many = new StringBuilder("PUSHB [{}");
        many.append(",{}".repeat(99_999)).append(']');
        assertTrue(
                producer.call(many.toString()).startsWith("-ERR more than 5000 jobs"),
                "one error for all of them");
        FaktoryPeer endless = peer("");
        String told = null;
        try {
            for (int i = 0; i < 40; i++) {
                endless.peer().send("x".repeat(100_000));
            }
            told = endless.peer().line();
        } catch (IOException e) {
            told = "closed";
        }
        assertTrue(
                told == null || told.equals("closed") || told.startsWith("-ERR a line too long"),
                told);
        assertEquals("+OK", producer.plain("job-00001", ""), "and the others go on");
    }

    /**
     * Lines that never end, on many connections: what they may hold together is bounded, and no
     * plain client notices.
     */
    @Test
    void unfinishedLinesTogetherDoNotFillTheMemory() throws Exception {
        int let = 0;
        for (int i = 0; i < 60; i++) {
            FaktoryPeer peer = peer("");
            try {
                peer.peer().send("PUSH {\"jid\":\"" + "x".repeat(950_000));
            } catch (IOException e) {
                let++;
            }
        }
        FaktoryPeer plain = peer("");
        assertEquals("+OK", plain.plain("job-00001", ""));
        int mb = plain.info().path("server").path("used_memory_mb").asInt();
        System.out.println(
                "60 unfinished lines of 950 KB: "
                        + mb
                        + " MB used, "
                        + let
                        + " refused while sending");
        assertTrue(mb < 700, mb + " MB");
    }
}
