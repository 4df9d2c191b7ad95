package review2;

/**
 * A producer loses the answer to its push of an apply-submit and pushes it again later. Meanwhile the
 * job has run, and the store has been restarted without its data.
 */
final class WipedRepeatCase extends Case {
    private static final String JOB = "apply-000001";

    @Override
    void play() throws Exception {
        Redis redis = closing(new Redis());
        Scheduler scheduler = closing(new Scheduler(folder, "school-desk", redis.port));
        scheduler.start();
        Fetcher worker = closing(new Fetcher(this, scheduler.port, "worker-1", "default", 500));
        Peer lost = closing(Peer.producer(scheduler.port));
        Peer producer = closing(Peer.producer(scheduler.port));
        lost.send(Peer.pushCommand(JOB, "default", "ApplySubmit", ""));
        note("PUSH " + JOB + "; its answer is not read");
        Thread.sleep(200);
        lost.close();
        long end = nowMs() + 10_000;
        while (nowMs() < end && !"success".equals(producer.state(JOB))) {
            Thread.sleep(100);
        }
        require("success".equals(producer.state(JOB)), "the job did not run");
        note(JOB + " has run: " + producer.state(JOB));
        if (trouble) {
            redis.stop();
            note("the store is stopped");
            Thread.sleep(1_000);
            redis.start(false);
            note("the store is started again, without its data");
        }
        Thread.sleep(3_000);
        String told = producer.pushWithRetries(this, JOB, "default", "ApplySubmit", "");
        require("+OK".equals(told), "no answer to the repeated push: " + told);
        Thread.sleep(10_000);
        long runs = worker.handed.stream().filter(JOB::equals).count();
        note(JOB + " was handed out " + runs + " times");
        if (runs > 1) {
            broken(JOB + " of a class that must not run twice was run " + runs + " times");
        }
    }
}
