import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The scheduler is restarted while jobs wait in a queue and producers push further ones as soon as
 * it is back. Each job whose push was acknowledged has to run.
 */
public final class RestartCase extends Case {
    private static final int WAITING_JOBS = 200;
    private static final int PRODUCERS = 8;
    private static final int PUSHES_OF_A_PRODUCER = 10;
    private static final int WORKERS = 4;

    /** A worker has found the queue empty if so many FETCHes in a row, of 2 s each, get nothing. */
    private static final int EMPTY_FETCHES = 4;

    private static final long RECONNECT_MS = 10;
    private static final long RECONNECT_FOR_MS = 20_000;
    private static final long PUSHES_TIMEOUT_S = 30;
    private static final long WORK_TIMEOUT_S = 60;

    private final Set<String> acknowledged = new ConcurrentSkipListSet<>();
    private final Set<String> ran = new ConcurrentSkipListSet<>();
    private final AtomicInteger failedWorkers = new AtomicInteger();
    private FaktoryScheduler scheduler;

    public static void main(String[] args) {
        Case.main(new RestartCase(), args);
    }

    @Override
    String play() throws Exception {
        RedisStandIn redis = new RedisStandIn(record);
        scheduler = new FaktoryScheduler(root, folder, redis.port, record);
        scheduler.start();
        try (FaktoryPeer producer = new FaktoryPeer(scheduler.port, "")) {
            for (int i = 0; i < WAITING_JOBS; i++) {
                push(producer, String.format("before-%05d", i));
            }
        }
        require(acknowledged.size() == WAITING_JOBS, "a push before the restart is refused");
        record.log("producer: %d jobs are acknowledged and wait", acknowledged.size());

        if (trouble) {
            scheduler.terminate();
        }
        CountDownLatch pushed = new CountDownLatch(PRODUCERS);
        for (int i = 0; i < PRODUCERS; i++) {
            int number = i;
            Threads.daemon("producer", () -> pushOnceConnected(number, pushed));
        }
        if (trouble) {
            scheduler.start();
        }
        require(pushed.await(PUSHES_TIMEOUT_S, TimeUnit.SECONDS), "the producers are not done");
        record.log("producers: %d jobs are acknowledged in all", acknowledged.size());

        CountDownLatch worked = new CountDownLatch(WORKERS);
        for (int i = 0; i < WORKERS; i++) {
            String wid = "w" + i;
            Threads.daemon("worker", () -> workUntilNoneIsLeft(wid, worked));
        }
        require(worked.await(WORK_TIMEOUT_S, TimeUnit.SECONDS), "the workers are not done");
        require(failedWorkers.get() == 0, "a worker has lost its connection");

        Set<String> lost = new TreeSet<>(acknowledged);
        lost.removeAll(ran);
        record.log("workers: %d jobs ran; each worker found the queue empty for %d s", ran.size(), 2 * EMPTY_FETCHES);
        try (FaktoryPeer producer = new FaktoryPeer(scheduler.port, "")) {
            for (String jid : lost) {
                record.log("producer: TRACK GET %s -> %s", jid, producer.call("TRACK GET " + jid));
            }
        }
        return lost.isEmpty()
                ? null
                : "lost: " + lost.size() + " of " + acknowledged.size()
                        + " acknowledged jobs do not run: " + lost;
    }

    private void push(FaktoryPeer producer, String jid) throws IOException {
        String reply =
                producer.call(
                        "PUSH {\"jid\":\"" + jid
                                + "\",\"jobtype\":\"Report\",\"queue\":\"reports\",\"args\":[1]}");
        record.log("producer: PUSH %s -> %s", jid, reply);
        if (reply.equals("+OK")) {
            acknowledged.add(jid);
        }
    }

    private void pushOnceConnected(int number, CountDownLatch pushed) {
        try (FaktoryPeer producer = connect()) {
            for (int i = 0; i < PUSHES_OF_A_PRODUCER; i++) {
                push(producer, String.format("after-%d-%05d", number, i));
            }
        } catch (IOException | InterruptedException e) {
            record.log("producer %d: %s", number, e);
        }
        pushed.countDown();
    }

    private FaktoryPeer connect() throws IOException, InterruptedException {
        long untilNs = System.nanoTime() + ms(RECONNECT_FOR_MS);
        while (true) {
            try {
                return new FaktoryPeer(scheduler.port, "");
            } catch (IOException e) {
                if (System.nanoTime() > untilNs) {
                    throw e;
                }
                Thread.sleep(RECONNECT_MS);
            }
        }
    }

    private void workUntilNoneIsLeft(String wid, CountDownLatch worked) {
        try (FaktoryPeer worker = new FaktoryPeer(scheduler.port, wid)) {
            for (int empty = 0; empty < EMPTY_FETCHES; empty++) {
                String jid = worker.fetch("reports");
                if (jid != null) {
                    empty = -1;
                    ran.add(jid);
                    record.log("worker %s: RUNS %s, ACK -> %s", wid, jid, worker.ack(jid));
                }
            }
        } catch (IOException e) {
            failedWorkers.incrementAndGet();
            record.log("worker %s: %s", wid, e);
        }
        worked.countDown();
    }
}
