package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy between a scheduler and its store. It can hold back the store's replies and pass them on
 * later, complete and in order; the end of a connection is passed on after that.
 */
final class Proxy implements AutoCloseable {
    final int port;
    private final int target;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile long heldUntilNs = System.nanoTime();

    Proxy(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        Threads.start(
                "proxy",
                () -> {
                    while (true) {
                        Socket near = listener.accept();
                        Threads.start("proxy-connection", () -> connect(near));
                    }
                });
    }

    /** Holds back the store's replies for this long from now on. */
    void holdReplies(long ms) {
        heldUntilNs = System.nanoTime() + ms * 1_000_000;
    }

    private void connect(Socket near) throws IOException, InterruptedException {
        Socket far = new Socket(InetAddress.getByName("127.0.0.1"), target);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        sockets.add(near);
        sockets.add(far);
        Threads.start("proxy-requests", () -> pass(near, far, false));
        pass(far, near, true);
    }

    private void pass(Socket from, Socket to, boolean replies)
            throws IOException, InterruptedException {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[65_536];
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                await(replies);
                out.write(buffer, 0, read);
            }
            await(replies);
            to.shutdownOutput();
        } catch (IOException e) {
            from.close();
            to.close();
        }
    }

    private void await(boolean replies) throws InterruptedException {
        while (replies && System.nanoTime() - heldUntilNs < 0) {
            Thread.sleep(5);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
