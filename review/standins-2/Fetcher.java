package review2;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A worker with one slot that fetches, runs and acknowledges jobs until it is closed. */
final class Fetcher implements AutoCloseable {
    /** The ids of the jobs that it was handed, in order. */
    final List<String> handed = new CopyOnWriteArrayList<>();

    private static final long BEAT_INTERVAL_MS = 10_000;

    private final Case owner;
    private final String wid;
    private final Peer peer;
    private volatile boolean closed;

    Fetcher(Case owner, int port, String wid, String queues, long runMs) throws IOException {
        this.owner = owner;
        this.wid = wid;
        this.peer = Peer.worker(port, wid, 1000 + wid.hashCode() % 1000);
        Threads.start(wid, () -> work(queues, runMs));
    }

    private void work(String queues, long runMs) throws IOException, InterruptedException {
        long beatMs = Case.nowMs() + BEAT_INTERVAL_MS;
        while (!closed) {
            String jid = peer.fetch(queues);
            if (jid != null) {
                handed.add(jid);
                owner.note(wid + " is handed " + jid);
                Thread.sleep(runMs);
                owner.note(wid + " ACK " + jid + ": " + peer.ack(jid));
            }
            if (Case.nowMs() > beatMs) {
                beatMs = Case.nowMs() + BEAT_INTERVAL_MS;
                peer.call("BEAT {\"wid\":\"" + wid + "\"}");
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        peer.close();
    }
}
