package review2;

/**
 * Jobs wait in a queue while no worker is there. The store is away for a few seconds, in which a
 * worker connects; then the store is back with all its data, and the worker fetches.
 */
final class StoreOutageCase extends Case {
    private static final int JOBS = 5;
    private static final long OUTAGE_MS = 3_000;
    private static final long PATIENCE_MS = 45_000;

    @Override
    void play() throws Exception {
        Redis redis = closing(new Redis());
        Scheduler scheduler = closing(new Scheduler(folder, "school-desk", redis.port));
        scheduler.start();
        Peer producer = closing(Peer.producer(scheduler.port));
        for (int i = 0; i < JOBS; i++) {
            String jid = "waiting-" + (10_000 + i);
            String told = producer.push(jid, "default", "Report", "");
            note("PUSH " + jid + ": " + told);
            require("+OK".equals(told), "not taken");
        }
        Thread.sleep(1_000);
        if (trouble) {
            redis.stop();
            note("the store is stopped");
        }
        Thread.sleep(OUTAGE_MS / 2);
        Fetcher worker = closing(new Fetcher(this, scheduler.port, "worker-1", "default", 200));
        note("worker-1 is connected and fetches");
        Thread.sleep(OUTAGE_MS / 2);
        if (trouble) {
            redis.start(true);
            note("the store is started again, with its data");
        }
        long end = nowMs() + PATIENCE_MS;
        while (nowMs() < end && worker.handed.size() < JOBS) {
            Thread.sleep(100);
        }
        require(scheduler.isAlive(), "the scheduler has ended");
        note(worker.handed.size() + " of " + JOBS + " jobs were handed out");
        for (int i = 0; i < JOBS; i++) {
            String jid = "waiting-" + (10_000 + i);
            if (!worker.handed.contains(jid)) {
                broken(jid + " was taken (+OK), and not handed to the worker that waits for it"
                        + " within " + PATIENCE_MS + " ms after the store was back");
            }
        }
        if (trouble) {
            note("PUSH of another job: " + producer.push("another-00001", "default", "Report", ""));
            Thread.sleep(5_000);
            note("after that push " + worker.handed.size() + " jobs were handed out");
        }
    }
}
