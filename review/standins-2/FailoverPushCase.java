package review2;

import java.util.List;

/**
 * Two schedulers on one store. The store's answers to the first one are late once, so that it tells a
 * producer to push again; the producer pushes the job again at the second one.
 */
final class FailoverPushCase extends Case {
    private static final long LATE_MS = 900;
    private static final long PATIENCE_MS = 30_000;
    private static final int JOBS = 5;

    @Override
    void play() throws Exception {
        Redis redis = closing(new Redis());
        Proxy first = closing(new Proxy(redis.port));
        Scheduler a = closing(scheduler("desk-a", first.port, 0));
        Scheduler b = closing(scheduler("desk-b", redis.port, 1));
        a.start();
        b.start();
        Fetcher workerA = closing(new Fetcher(this, a.port, "worker-a", "default", 200));
        Fetcher workerB = closing(new Fetcher(this, b.port, "worker-b", "default", 200));
        Peer producerA = closing(Peer.producer(a.port));
        Peer producerB = closing(Peer.producer(b.port));
        Thread.sleep(1_000);
        String early = producerA.push("before-00001", "default", "Report", "");
        require("+OK".equals(early), "push before the disruption: " + early);

        String[] taken = new String[JOBS];
        for (int i = 0; i < JOBS; i++) {
            taken[i] = "moved-" + (10_000 + i);
            Thread.sleep(3_000);
            if (trouble) {
                first.holdReplies(LATE_MS);
            }
            String told = producerA.push(taken[i], "default", "Report", "");
            note("PUSH " + taken[i] + " at desk-a: " + told);
            if (!"+OK".equals(told)) {
                told = producerB.push(taken[i], "default", "Report", "");
                note("PUSH " + taken[i] + " at desk-b: " + told);
            }
            require("+OK".equals(told), "the job was not taken: " + told);
        }
        long end = nowMs() + PATIENCE_MS;
        while (nowMs() < end && !ran(workerA, workerB, taken)) {
            Thread.sleep(100);
        }
        require(a.isAlive() && b.isAlive(), "a scheduler has ended");
        for (String jid : taken) {
            boolean ran = workerA.handed.contains(jid) || workerB.handed.contains(jid);
            note(jid + " ran: " + ran + "; TRACK GET at desk-a: " + producerA.state(jid)
                    + ", at desk-b: " + producerB.state(jid));
            if (!ran) {
                broken(jid + " was taken (+OK) and never handed to a worker");
            }
        }
    }

    private static boolean ran(Fetcher a, Fetcher b, String... jids) {
        return List.of(jids).stream()
                .allMatch(jid -> a.handed.contains(jid) || b.handed.contains(jid));
    }

    private Scheduler scheduler(String name, int storePort, int slot) throws Exception {
        return new Scheduler(
                folder, name, storePort,
                "instances = 1 ", "instances = 2 ",
                "slot_no = 0", "slot_no = " + slot);
    }
}
