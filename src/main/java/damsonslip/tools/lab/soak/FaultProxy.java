package damsonslip.tools.lab.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;

/**
 * A proxy between schedulers and one worker that forwards bytes both ways and injects network
 * faults. Only answers are delayed or stalled; requests are just split or cut, since the time at
 * which their bytes arrive counts as the begin of the attempt.
 */
final class FaultProxy implements Closeable {
    /** How the network behaves. */
    enum Condition {
        /** Forwards everything at once. */
        NORMAL,
        /** Delays each piece of an answer. */
        DELAYING,
        /** Forwards no answers. */
        STALLING,
        /** Forwards everything in pieces of a few bytes. */
        SPLITTING,
        /** Closes connections in the middle of a message. */
        CUTTING,
        /** Resets both sides of connections in the middle of a message. */
        RESETTING
    }

    private static final int BACKLOG = 200;
    private static final int BUFFER = 8 * 1024;
    private static final int CONNECT_MS = 1_000;
    private static final int MAX_PIECE = 24;
    private static final long SPLIT_PAUSE_US = Clock.MILLISECOND / 2;
    private static final long MAX_DELAY_US = 60 * Clock.MILLISECOND;
    private static final long STALL_CHECK_US = 20 * Clock.MILLISECOND;

    /** While connections are cut, one forwarded piece in this many ends its connection. */
    private static final int CUT_ONE_OF = 12;

    private final IntSupplier targetPort;
    private final Random random;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /**
     * Time at which the first byte of the current request was read, by the local port of the
     * connection to the worker.
     */
    private final Map<Integer, Long> beganUs = new ConcurrentHashMap<>();

    private volatile Condition condition = Condition.NORMAL;

    /** Listens on a free port. The target's port is looked up for each new connection. */
    FaultProxy(IntSupplier targetPort, long seed) throws IOException {
        this.targetPort = targetPort;
        this.random = new Random(seed);
        this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Threads.start("proxy", this::acceptAll);
    }

    int port() {
        return server.getLocalPort();
    }

    /**
     * Time at which the current request on the connection from this local port began to arrive, or
     * the fallback if unknown.
     */
    long beganUs(int fromPort, long fallbackUs) {
        return beganUs.getOrDefault(fromPort, fallbackUs);
    }

    /** Sets the condition from now on. */
    void condition(Condition next) {
        condition = next;
    }

    private void acceptAll() throws IOException {
        while (!server.isClosed()) {
            Socket client = server.accept();
            Threads.start("proxy", () -> connect(client));
        }
    }

    private void connect(Socket client) throws IOException, InterruptedException {
        Socket worker = new Socket();
        open.add(client);
        open.add(worker);
        try {
            client.setTcpNoDelay(true);
            worker.setTcpNoDelay(true);
            worker.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort.getAsInt()),
                    CONNECT_MS);
        } catch (IOException e) { // the worker does not listen: reset the scheduler's side
            end(client, worker, true);
            return;
        }
        int port = worker.getLocalPort();
        Threads.start("proxy", () -> pass(worker, client, port, true));
        pass(client, worker, port, false);
    }

    private void pass(Socket from, Socket to, int port, boolean answers)
            throws InterruptedException {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[BUFFER];
            for (int got = in.read(buffer); got >= 0; got = in.read(buffer)) {
                if (answers) {
                    beganUs.remove(port);
                    delayAnswer();
                } else {
                    beganUs.putIfAbsent(port, Clock.nowUs());
                }
                if (isCut()) {
                    out.write(buffer, 0, got / 2);
                    end(from, to, condition == Condition.RESETTING);
                    return;
                }
                write(out, buffer, got);
            }
            to.shutdownOutput();
        } catch (IOException e) { // one side was reset: reset the other one too
            end(from, to, true);
        }
    }

    private void delayAnswer() throws InterruptedException {
        if (condition == Condition.DELAYING) {
            Clock.sleepUs((long) (chance() * MAX_DELAY_US));
        }
        while (condition == Condition.STALLING && !server.isClosed()) {
            Clock.sleepUs(STALL_CHECK_US);
        }
    }

    private boolean isCut() {
        boolean cuts = condition == Condition.CUTTING || condition == Condition.RESETTING;
        return cuts && chance() * CUT_ONE_OF < 1;
    }

    private void write(OutputStream out, byte[] bytes, int length)
            throws IOException, InterruptedException {
        for (int at = 0; at < length; ) {
            boolean splits = condition == Condition.SPLITTING;
            int piece =
                    splits ? Math.min(length - at, 1 + (int) (chance() * MAX_PIECE)) : length - at;
            out.write(bytes, at, piece);
            at += piece;
            if (splits) {
                Clock.sleepUs(SPLIT_PAUSE_US);
            }
        }
    }

    private double chance() {
        synchronized (random) {
            return random.nextDouble();
        }
    }

    private void end(Socket one, Socket other, boolean reset) {
        for (Socket socket : new Socket[] {one, other}) {
            open.remove(socket);
            try {
                if (reset) {
                    socket.setSoLinger(true, 0);
                }
                socket.close();
            } catch (IOException e) {
                // already closed
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
