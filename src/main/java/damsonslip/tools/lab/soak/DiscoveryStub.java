package damsonslip.tools.lab.soak;

import damsonslip.tools.lab.soak.Membership.Change;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A discovery service for one scheduler, on its own port, so that the time at which each change was
 * sent to that scheduler is known. It can be made unavailable or slow, or can stop writing on open
 * watches.
 */
final class DiscoveryStub implements Closeable {
    private static final long KEEPALIVE_US = 2 * Clock.SECOND;
    private static final int BACKLOG = 50;

    private final Membership membership;

    /** Time at which each change was first written to a watch of this scheduler, by generation. */
    private final Map<Integer, Long> sentUs;

    private final ServerSocket server;
    private final Set<Watch> watches = ConcurrentHashMap.newKeySet();
    private volatile boolean down;
    private volatile long answerDelayUs;

    DiscoveryStub(Membership membership, Map<Integer, Long> sentUs) throws IOException {
        this.membership = membership;
        this.sentUs = sentUs;
        this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Threads.start("discovery", this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /**
     * Sets the delay before each answer. While down, calls are answered with 503 and the open
     * watches are reset.
     */
    void setDown(boolean unavailable, long delayUs) {
        down = unavailable;
        answerDelayUs = delayUs;
        if (unavailable) {
            resetWatches();
        }
    }

    /** Resets the open watches. */
    void resetWatches() {
        watches.forEach(Watch::end);
    }

    /** Stops writing on the watches that are open now, without closing them. */
    void silenceWatches() {
        watches.forEach(watch -> watch.silent = true);
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Watch watch = new Watch(new Wire(server.accept()));
            Threads.start("watch", watch::serve);
        }
    }

    /** One call for the endpoint list, which becomes a watch. */
    private final class Watch {
        private final Wire wire;
        private volatile boolean silent;
        private volatile boolean ended;

        Watch(Wire wire) {
            this.wire = wire;
        }

        void end() {
            try {
                wire.reset();
            } catch (IOException e) {
                // already closed
            }
        }

        void serve() throws IOException, InterruptedException {
            watches.add(this);
            try (wire) {
                Wire.Message call = wire.read();
                if (call == null) {
                    return;
                }
                Clock.sleepUs(answerDelayUs);
                if (down) {
                    wire.send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
                wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                Threads.start("watch's end", this::awaitEnd);
                watch(Integer.parseInt(call.first().replaceAll(".*after=(\\d+).*", "$1")));
            } finally {
                watches.remove(this);
            }
        }

        private void watch(int after) throws IOException, InterruptedException {
            List<Change> first = membership.after(after);
            int sentGeneration = membership.generation();
            chunk(after == 0 ? membership.snapshot() : membership.update(first), first);
            long keepaliveDueUs = Clock.nowUs() + KEEPALIVE_US;
            while (true) {
                membership.await(sentGeneration, keepaliveDueUs - Clock.nowUs());
                List<Change> more = membership.after(sentGeneration);
                if (silent) {
                    Clock.sleepUs(KEEPALIVE_US);
                    continue;
                }
                if (more.isEmpty() && Clock.nowUs() < keepaliveDueUs) {
                    continue;
                }
                sentGeneration =
                        more.isEmpty() ? sentGeneration : more.get(more.size() - 1).generation();
                chunk(more.isEmpty() ? "" : membership.update(more), more);
                keepaliveDueUs = Clock.nowUs() + KEEPALIVE_US;
            }
        }

        /**
         * Waits for the scheduler to close the watch. It sends nothing on a watch, so a read
         * returns only at the end; changes written after that reach nobody and must not count as
         * sent.
         */
        private void awaitEnd() throws IOException {
            try {
                wire.read();
            } finally {
                ended = true;
                wire.close();
            }
        }

        private void chunk(String object, List<Change> changes) throws IOException {
            String line = object + "\n";
            int length = line.getBytes(StandardCharsets.UTF_8).length;
            if (ended) {
                throw new IOException("the scheduler has closed the watch");
            }
            wire.send(Integer.toHexString(length) + "\r\n" + line + "\r\n");
            long now = Clock.nowUs();
            changes.forEach(change -> sentUs.putIfAbsent(change.generation(), now));
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        resetWatches();
    }
}
