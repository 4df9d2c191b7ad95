package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import damsonslip.testkit.Program;
import damsonslip.testkit.RedisStandIn;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The operators' troubles, shortened, played to the Faktory front: workers slow down, hang, drain
 * and come fresh, and the scheduler dies. Counted by the four rules and by the worth answered in
 * time.
 */
class FaultScenarioTest {
    private static final String[] CLASSES = {
        "status-read", "list-report", "apply-submit", "offer-reply"
    };
    private static final double[] PARTS = {0.31, 0.60, 0.84, 1};
    private static final double[] WORTH = {5, 2, 5, 3};
    private static final long LENGTH_MS = 8_000;
    private static final int EVERY_MS = 25;
    private static final long DEADLINE_MS = 3_000;

    /** What the store and two processes on a busy machine may add to the rules' 66 ms. */
    private static final long GRACE_MS = 500;

    private static final ObjectMapper JSON = new ObjectMapper();

    private record Pushed(String jid, int jobClass, long atMs) {}

    private record Run(String jid, String worker, long atMs) {}

    @TempDir Path dir;
    private final int port = Program.freePort();
    private final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Map<String, String> state = new ConcurrentHashMap<>();
    private volatile boolean over;

    private static long nowMs() {
        return System.currentTimeMillis();
    }

    /**
     * One slot of a worker: fetches, works, tells, and connects anew when the scheduler has died.
     */
    private Thread slot(String wid) {
        Thread thread =
                new Thread(
                        () -> {
                            while (!over) {
                                try (FaktoryPeer peer = new FaktoryPeer(port, wid, "")) {
                                    while (!over) {
                                        work(wid, peer);
                                    }
                                } catch (IOException | InterruptedException e) {
                                    pause(50);
                                }
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void work(String wid, FaktoryPeer peer) throws IOException, InterruptedException {
        String jid = peer.fetch();
        if (jid == null) {
            return;
        }
        runs.add(new Run(jid, wid, nowMs()));
        switch (state.getOrDefault(wid, "well")) {
            case "slow" -> Thread.sleep(200);
            case "hung" -> {
                while ("hung".equals(state.get(wid))) {
                    Thread.sleep(20);
                }
                return;
            }
            default -> Thread.sleep(40);
        }
        peer.ack(jid);
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Program program(RedisStandIn redis) throws IOException {
        String file =
                FaktoryServer.settings(
                        port,
                        FaktoryServer.address(redis),
                        "127.0.0.1:7420",
                        "",
                        "cold_s = 24.0",
                        "cold_s = 3.0",
                        "cold_share = 1.0",
                        "cold_share = 0.13");
        return new Program(null, "serve", Program.file(dir, file).toString())
                .awaitWord("taken up from the store");
    }

    @Test
    void keepsTheRulesThroughFaults() throws Exception {
        List<Pushed> pushed = new ArrayList<>();
        long[] quietAt = {Long.MAX_VALUE};
        long[] diedAt = new long[1];
        try (RedisStandIn redis = new RedisStandIn();
                Program first = program(redis)) {
            for (int i = 0; i < 12; i++) {
                slot("w" + i / 2);
            }
            Program second = push(pushed, first, redis, quietAt, diedAt);
            try (second;
                    FaktoryPeer tracker = new FaktoryPeer(port, "", "")) {
                pause(DEADLINE_MS + GRACE_MS);
                judge(pushed, tracker, quietAt[0], diedAt[0]);
            } finally {
                over = true;
            }
        }
    }

    private Program push(
            List<Pushed> pushed, Program first, RedisStandIn redis, long[] quietAt, long[] diedAt)
            throws Exception {
        SplittableRandom random = new SplittableRandom(11);
        Program program = first;
        FaktoryPeer producer = new FaktoryPeer(port, "", "");
        long start = nowMs();
        for (int i = 0; (long) i * EVERY_MS < LENGTH_MS; i++) {
            trouble(i, quietAt);
            if (i == 200) {
                diedAt[0] = nowMs();
                program.kill();
                program.exit();
                program = program(redis);
                producer = new FaktoryPeer(port, "", "");
            }
            double draw = random.nextDouble();
            int jobClass = 0;
            while (draw > PARTS[jobClass]) {
                jobClass++;
            }
            Pushed job = new Pushed("job-" + (10_000 + i), jobClass, nowMs());
            if (producer.push(job.jid(), CLASSES[jobClass], DEADLINE_MS / 1000.0, "")
                    .equals("+OK")) {
                pushed.add(job);
            }
            pause(Math.max(0, start + (long) i * EVERY_MS - nowMs()));
        }
        return program;
    }

    private void trouble(int step, long[] quietAt) throws IOException {
        switch (step) {
            case 60 -> state.put("w1", "slow");
            case 100 -> state.put("w2", "hung");
            case 140 -> state.put("w1", "well");
            case 160 -> state.put("w2", "well");
            case 180 -> {
                slot("fresh");
                slot("fresh");
            }
            case 240 -> {
                try (FaktoryPeer peer = new FaktoryPeer(port, "w0", "")) {
                    assertEquals(
                            "+OK", peer.call("BEAT {\"wid\":\"w0\",\"current_state\":\"quiet\"}"));
                }
                quietAt[0] = nowMs();
            }
            default -> {}
        }
    }

    private void judge(List<Pushed> pushed, FaktoryPeer tracker, long quietAt, long diedAt)
            throws IOException {
        double asked = 0;
        double served = 0;
        for (Pushed job : pushed) {
            JsonNode told = JSON.readTree(tracker.call("TRACK GET " + job.jid()));
            String end = told.path("state").asText();
            assertTrue(
                    List.of("success", "failed", "dead").contains(end),
                    job + " has no final answer: " + told);
            long endMs = Instant.parse(told.path("updated_at").asText()).toEpochMilli();
            boolean crossed = job.atMs() < diedAt && job.atMs() + DEADLINE_MS > diedAt;
            assertTrue(
                    crossed || endMs <= job.atMs() + DEADLINE_MS + GRACE_MS,
                    job + " was answered late: " + told);
            long ran = runs.stream().filter(run -> run.jid().equals(job.jid())).count();
            assertTrue(job.jobClass() != 2 || ran <= 1, job + " ran " + ran + " times");
            assertTrue(!end.equals("success") || ran >= 1, job + " was served by nobody");
            asked += WORTH[job.jobClass()];
            served += end.equals("success") && endMs - job.atMs() < 500 ? WORTH[job.jobClass()] : 0;
        }
        assertEquals(
                0,
                runs.stream()
                        .filter(run -> run.worker().equals("w0") && run.atMs() > quietAt + 500)
                        .count());
        assertTrue(
                runs.stream().anyMatch(run -> run.worker().equals("fresh")),
                "the fresh worker is used");
        System.out.printf(
                "faktory troubles: %d jobs taken, %d runs, %.3f of the worth in time%n",
                pushed.size(), runs.size(), served / asked);
        assertTrue(
                pushed.size() > 250 && served / asked > 0.6,
                served / asked + " of " + pushed.size());
    }
}
