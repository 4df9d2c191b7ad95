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
 * Discovery as one scheduler sees it, at an address of its own, so that it is known what each has
 * been told and when. It can be down, slow, or leave open watches silent.
 */
final class DiscoveryStub implements Closeable {
    private static final long PULSE_US = 2 * Clock.SECOND;
    private static final int BACKLOG = 50;

    private final Membership membership;

    /** When each change was written to this scheduler's watch, by its generation. */
    private final Map<Integer, Long> toldUs;

    private final ServerSocket server;
    private final Set<Watch> watches = ConcurrentHashMap.newKeySet();
    private volatile boolean down;
    private volatile long answerAfterUs;

    DiscoveryStub(Membership membership, Map<Integer, Long> toldUs) throws IOException {
        this.membership = membership;
        this.toldUs = toldUs;
        this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Threads.start("discovery", this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Fails all calls, after this wait, and ends the open watches; or serves again. */
    void down(boolean so, long waitUs) {
        down = so;
        answerAfterUs = waitUs;
        if (so) {
            endWatches();
        }
    }

    /** Resets the open watches. */
    void endWatches() {
        watches.forEach(Watch::end);
    }

    /** Nothing more is written on the watches that are open now. */
    void silence() {
        watches.forEach(watch -> watch.silent = true);
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Watch watch = new Watch(new Wire(server.accept()));
            Threads.start("watch", watch::serve);
        }
    }

    /** One call, which becomes a watch. */
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
                // it has ended by itself
            }
        }

        void serve() throws IOException, InterruptedException {
            watches.add(this);
            try (wire) {
                Wire.Message call = wire.read();
                if (call == null) {
                    return;
                }
                Clock.sleepUs(answerAfterUs);
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
            int told = membership.generation();
            chunk(after == 0 ? membership.whole() : membership.object(first), first);
            long pulseUs = Clock.nowUs() + PULSE_US;
            while (true) {
                membership.await(told, pulseUs - Clock.nowUs());
                List<Change> more = membership.after(told);
                if (silent) {
                    Clock.sleepUs(PULSE_US);
                    continue;
                }
                if (more.isEmpty() && Clock.nowUs() < pulseUs) {
                    continue;
                }
                told = more.isEmpty() ? told : more.get(more.size() - 1).generation();
                chunk(more.isEmpty() ? "" : membership.object(more), more);
                pulseUs = Clock.nowUs() + PULSE_US;
            }
        }

        /**
         * The scheduler says nothing on a watch; its end is read, since what is written after that
         * is told to nobody.
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
                throw new IOException("the scheduler has ended the watch");
            }
            wire.send(Integer.toHexString(length) + "\r\n" + line + "\r\n");
            long now = Clock.nowUs();
            changes.forEach(change -> toldUs.putIfAbsent(change.generation(), now));
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        endWatches();
    }
}
