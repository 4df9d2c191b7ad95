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
 * The network between schedulers and one worker: passes bytes on both ways, and harms them as its
 * condition says. What goes to the worker is only split or cut, since that is when an attempt
 * begins; answers are delayed and held back as well.
 */
final class FaultProxy implements Closeable {
    /** What the network does. */
    enum Condition {
        /** Passes everything on at once. */
        WELL,
        /** Passes each piece of an answer on some time later. */
        DELAYING,
        /** Passes nothing of an answer on. */
        STALLING,
        /** Passes everything on in pieces of a few bytes. */
        SPLITTING,
        /** Ends connections in the middle of what they carry. */
        CUTTING,
        /** The same with a reset to both sides. */
        RESETTING
    }

    private static final int BACKLOG = 200;
    private static final int BUFFER = 8 * 1024;
    private static final int CONNECT_MS = 1_000;
    private static final int LARGEST_PIECE = 24;
    private static final long SPLIT_PAUSE_US = Clock.MILLISECOND / 2;
    private static final long LONGEST_DELAY_US = 60 * Clock.MILLISECOND;
    private static final long STALL_LOOK_US = 20 * Clock.MILLISECOND;

    /** Of what passes while it cuts, one piece of so many is the last of its connection. */
    private static final int CUT_ONE_OF = 12;

    private final IntSupplier targetPort;
    private final Random random;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** When the request at hand was first read, by the port from which it is passed on. */
    private final Map<Integer, Long> beganUs = new ConcurrentHashMap<>();

    private volatile Condition condition = Condition.WELL;

    /**
     * Listens on a port of its own, and leads to the one that the target has when a connection
     * comes.
     */
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
     * When the request began to come that is passed on from this port, or then if nothing is known
     * of it.
     */
    long beganUs(int fromPort, long thenUs) {
        return beganUs.getOrDefault(fromPort, thenUs);
    }

    /** What the network does from now on. */
    void condition(Condition next) {
        condition = next;
    }

    private void acceptAll() throws IOException {
        while (!server.isClosed()) {
            Socket near = server.accept();
            Threads.start("proxy", () -> connect(near));
        }
    }

    private void connect(Socket near) throws IOException, InterruptedException {
        Socket far = new Socket();
        open.add(near);
        open.add(far);
        try {
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            far.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort.getAsInt()),
                    CONNECT_MS);
        } catch (IOException e) { // nobody is there: the near side learns it by a reset
            end(near, far, true);
            return;
        }
        int port = far.getLocalPort();
        Threads.start("proxy", () -> pass(far, near, port, true));
        pass(near, far, port, false);
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
                    holdBack();
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
        } catch (IOException e) { // one side was reset, and the other one is
            end(from, to, true);
        }
    }

    private void holdBack() throws InterruptedException {
        if (condition == Condition.DELAYING) {
            Clock.sleepUs((long) (chance() * LONGEST_DELAY_US));
        }
        while (condition == Condition.STALLING && !server.isClosed()) {
            Clock.sleepUs(STALL_LOOK_US);
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
                    splits
                            ? Math.min(length - at, 1 + (int) (chance() * LARGEST_PIECE))
                            : length - at;
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
                // it has ended by itself
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
