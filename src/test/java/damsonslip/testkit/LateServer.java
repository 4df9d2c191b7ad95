package damsonslip.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server whose connections are established late: while its accept queue is full the system drops
 * connection attempts, and the client retransmits after one second and again two seconds later.
 */
public final class LateServer implements Closeable {
    private static final int PROBE_MS = 150;

    private final ServerSocket socket;
    private final List<Socket> fillers = new ArrayList<>();
    private final List<Peer> peers = new ArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();

    public LateServer() throws IOException {
        socket = new ServerSocket();
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
        hold();
    }

    /** Fills the accept queue, so that further connection attempts have to wait. */
    public void hold() throws IOException {
        while (fill()) {
            Thread.onSpinWait();
        }
    }

    private boolean fill() throws IOException {
        Socket filler = new Socket();
        try {
            filler.connect(socket.getLocalSocketAddress(), PROBE_MS);
            fillers.add(filler);
            return true;
        } catch (SocketTimeoutException e) {
            filler.close();
            return false;
        }
    }

    public int port() {
        return socket.getLocalPort();
    }

    /** Accepts connections from now on; pending attempts succeed at their next retransmission. */
    public void open(Peer.Handler handler) throws IOException {
        open(Integer.MAX_VALUE, handler);
    }

    /** Accepts at most this many connections. */
    public void open(int most, Peer.Handler handler) throws IOException {
        for (Socket filler : fillers) {
            socket.accept().close();
            filler.close();
        }
        fillers.clear();
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                for (int i = 0; i < most; i++) {
                                    Peer peer = new Peer(socket.accept());
                                    synchronized (peers) {
                                        peers.add(peer);
                                    }
                                    connections.incrementAndGet();
                                    handle(handler, peer);
                                }
                            } catch (IOException e) {
                                // the test is over
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void handle(Peer.Handler handler, Peer peer) {
        Thread thread =
                new Thread(
                        () -> {
                            try (peer) {
                                handler.handle(peer);
                            } catch (IOException | InterruptedException e) {
                                // the peer has disconnected
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** The number of accepted connections. */
    public int connections() {
        return connections.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket filler : fillers) {
            filler.close();
        }
        synchronized (peers) {
            for (Peer peer : peers) {
                peer.close();
            }
        }
    }
}
