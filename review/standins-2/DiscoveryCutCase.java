package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * The scheduler is cut off from discovery: its open watch is quiet, and new connections never come
 * up. A worker begins to drain a second later. The cut ends after some more seconds.
 */
final class DiscoveryCutCase extends Case {
    private static final long CUT_MS = 14_000;
    private static final long DRAIN_AFTER_MS = 1_000;

    /** What the silent watch misses counts as told 6 s after it fell silent, or after the change. */
    private static final long TOLD_MS = 6_000;

    /** 0.5 s of grace by the settings, and 50 ms on sockets. */
    private static final long GRACE_MS = 550;

    @Override
    void play() throws Exception {
        Discovery discovery = closing(new Discovery(this));
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Worker worker = closing(new Worker(this, "s-0000000" + i, 120));
            workers.add(worker);
            discovery.list(worker, "ready");
        }
        PlatformScheduler scheduler =
                closing(
                        new PlatformScheduler(
                                folder, "n1", discovery.port, discovery.completeList()));
        scheduler.start();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            clients.add(closing(new Client(this, scheduler.port, "status-read", 5_000, 200)));
        }
        Thread.sleep(8_000);
        if (trouble) {
            discovery.cut();
        }
        long cutNs = System.nanoTime();
        Thread.sleep(DRAIN_AFTER_MS);
        Worker draining = workers.get(0);
        draining.drain();
        discovery.list(draining, "draining");
        long drainNs = System.nanoTime();
        note(draining.id + " begins to drain; discovery lists it so");
        Thread.sleep(CUT_MS - DRAIN_AFTER_MS);
        if (trouble) {
            discovery.restore();
        }
        Thread.sleep(5_000);
        clients.forEach(Client::close);
        require(scheduler.isAlive(), "the scheduler has ended");
        judge(draining, trouble ? drainNs + TOLD_MS * 1_000_000 : drainNs, cutNs, workers);
        int served = clients.stream().mapToInt(client -> client.served.get()).sum();
        int unserved = clients.stream().mapToInt(client -> client.unserved.get()).sum();
        note("answers: " + served + " served, " + unserved + " others");
    }

    private void judge(Worker draining, long toldNs, long cutNs, List<Worker> workers) {
        for (Worker worker : workers) {
            note(worker.id + " got " + worker.received.size() + " jobs, "
                    + worker.received.stream().filter(job -> job.firstByteNs() > cutNs).count()
                    + " of them after the cut");
        }
        int late = 0;
        for (Worker.Received job : draining.received) {
            long afterMs = (job.firstByteNs() - toldNs) / 1_000_000;
            if (afterMs > GRACE_MS) {
                late++;
                log(draining.id + " got " + job.id() + " " + afterMs + " ms after its drain counts"
                        + " as told");
            }
        }
        if (late > 0) {
            broken(late + " jobs were sent to a draining worker more than " + GRACE_MS
                    + " ms after its drain counts as told");
        }
    }
}
