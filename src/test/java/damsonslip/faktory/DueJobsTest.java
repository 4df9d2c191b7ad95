package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests a burst of scheduled jobs that fall due at once. */
class DueJobsTest extends FaktoryProgramFixture {
    private static final ObjectMapper JSON = new ObjectMapper();

    DueJobsTest() {
        super(NO_PASSWORD, "least_reserve_s = 60", "least_reserve_s = 1");
    }

    private static final int BULK_JOBS = 10_000;
    private static final int JOBS_PER_PUSH = 500;
    private static final int AWAITED_JOBS = 60;
    private static final int SLOTS = 6;

    private final AtomicLong completedBulkJobs = new AtomicLong();

    /** Ten thousand jobs fall due at once; awaited jobs submitted meanwhile keep their latency. */
    @Test
    void keepsLatencyOfAwaitedJobsDuringBurstOfDueJobs() throws Exception {
        FaktoryPeer producer = producer();
        Instant due = Instant.now().plusSeconds(4);
        for (int from = 0; from < BULK_JOBS; from += JOBS_PER_PUSH) {
            assertEquals("{}", producer.call(bulkPush(from, due)));
        }
        assertEquals(10_000, producer.size("Scheduled"));
        for (int slot = 0; slot < SLOTS; slot++) {
            startWorker(peer("w" + slot % 2));
        }
        Thread.sleep(Math.max(0, due.toEpochMilli() - System.currentTimeMillis() - 500));
        List<Long> latenciesMs = runAwaitedJobs(producer);
        long completed = completedBulkJobs.get();
        System.out.printf(
                "10,000 jobs due at once: status-read p50 %d ms, max %d ms; %d of them completed"
                        + " meanwhile%n",
                latenciesMs.get(30), latenciesMs.get(59), completed);
        assertTrue(
                latenciesMs.get(30) <= 60 && latenciesMs.get(56) <= 250,
                "status-read took " + latenciesMs);
        assertTrue(completed > 200, "jobs of the burst completed: " + completed);
        assertEquals(0, producer.size("Scheduled"));
    }

    private static String bulkPush(int from, Instant due) {
        StringBuilder jobs = new StringBuilder("PUSHB [");
        for (int i = 0; i < JOBS_PER_PUSH; i++) {
            jobs.append(i == 0 ? "" : ",")
                    .append("{\"jid\":\"later-")
                    .append(from + i + 10_000)
                    .append("\",\"jobtype\":\"t\",\"args\":[],\"queue\":\"bulk\",\"at\":\"")
                    .append(due)
                    .append("\"}");
        }
        return jobs + "]";
    }

    /** Starts a thread that fetches and acknowledges jobs until the test ends. */
    private void startWorker(FaktoryPeer worker) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work(worker);
                            } catch (IOException e) {
                                return; // the test has ended
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private void work(FaktoryPeer worker) throws IOException {
        while (true) {
            String job = worker.call("FETCH bulk status");
            if (job != null) {
                worker.ack(JSON.readTree(job).path("jid").asText());
                completedBulkJobs.incrementAndGet();
            }
        }
    }

    /** Runs awaited jobs one after another; returns their latencies in ascending order. */
    private static List<Long> runAwaitedJobs(FaktoryPeer producer) throws Exception {
        List<Long> latenciesMs = new ArrayList<>();
        for (int i = 0; i < AWAITED_JOBS; i++) {
            String jid = "status-" + (100 + i);
            long startNs = System.nanoTime();
            assertEquals("+OK", producer.push(jid, "status-read", 5, ",\"queue\":\"status\""));
            FaktoryServer.awaitState(producer, jid, "success");
            latenciesMs.add((System.nanoTime() - startNs) / 1_000_000);
            Thread.sleep(25);
        }
        latenciesMs.sort(null);
        return latenciesMs;
    }
}
