package damsonslip.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Discovery that serves calls one after another at a bounded rate and answers those that would wait
 * too long with 503 after that wait, having spent as much on them; while it is down each call ends
 * so, and its watches are reset.
 */
public final class BusyDiscovery implements Closeable {
    private final Peer.Server server;
    private final long costNanos;
    private final long mostWaitNanos;
    private final List<Peer> watches = new ArrayList<>();
    private final List<Long> calls = new CopyOnWriteArrayList<>();
    private volatile String list;
    private boolean down;
    private long busyUntil = System.nanoTime();

    /**
     * Serves this list; each call takes {@code costMillis} and waits at most {@code
     * mostWaitMillis}.
     */
    public BusyDiscovery(String list, long costMillis, long mostWaitMillis) throws IOException {
        this.list = list;
        this.costNanos = TimeUnit.MILLISECONDS.toNanos(costMillis);
        this.mostWaitNanos = TimeUnit.MILLISECONDS.toNanos(mostWaitMillis);
        this.server = new Peer.Server(0, this::serve);
    }

    public int port() {
        return server.port();
    }

    /** The total number of calls received. */
    public int calls() {
        return calls.size();
    }

    private void serve(Peer peer) throws IOException, InterruptedException {
        peer.message();
        calls.add(System.nanoTime());
        long wait = turn();
        TimeUnit.NANOSECONDS.sleep(wait < 0 ? mostWaitNanos : wait);
        synchronized (this) {
            if (wait < 0 || down) {
                peer.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").chunk(list);
            watches.add(peer);
        }
        while (true) {
            TimeUnit.SECONDS.sleep(2);
            peer.chunk("");
        }
    }

    /** The duration of a call that arrives now, or -1 if it fails. */
    private synchronized long turn() {
        long now = System.nanoTime();
        if (down) {
            return -1;
        }
        long wait = Math.max(0, busyUntil - now);
        busyUntil = Math.max(busyUntil, now) + costNanos;
        return wait > mostWaitNanos ? -1 : wait + costNanos;
    }

    /** The number of open watches. */
    public synchronized int open() {
        return watches.size();
    }

    /** Fails all calls from now on and closes the watches. */
    public synchronized void fail() throws IOException {
        down = true;
        for (Peer watch : watches) {
            watch.close();
        }
        watches.clear();
    }

    /** Resumes service with this list. */
    public synchronized void comeBack(String newList) {
        list = newList;
        busyUntil = System.nanoTime();
        down = false;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
