package damsonslip.tools.lab;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A discovery server on the loopback interface for real schedulers. It treats every call as a
 * watch, which receives an empty update first and then each broadcast object.
 */
final class LoopbackDiscovery implements Closeable {
    private static final long HEARTBEAT_MS = 2_000;
    private static final long WATCH_TIMEOUT_S = 30;

    private final ServerSocket server = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    private final List<Socket> watches = new CopyOnWriteArrayList<>();
    private final CountDownLatch watched = new CountDownLatch(1);

    LoopbackDiscovery() throws IOException {
        start(this::accept);
        start(this::sendHeartbeats);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Waits until a scheduler has opened a watch. */
    void awaitWatch() throws IOException, InterruptedException {
        if (!watched.await(WATCH_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IOException(
                    "lab: no scheduler came to watch discovery within " + WATCH_TIMEOUT_S + " s");
        }
    }

    /** Sends a JSON object to all watches as one HTTP chunk; an empty string is a heartbeat. */
    synchronized void broadcast(String object) {
        String text = object + "\n";
        byte[] chunk =
                (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                        .getBytes(StandardCharsets.UTF_8);
        for (Socket watch : watches) {
            try {
                watch.getOutputStream().write(chunk);
                watch.getOutputStream().flush();
            } catch (IOException e) {
                watches.remove(watch); // the scheduler has closed the connection
            }
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket peer = server.accept();
                peer.setTcpNoDelay(true);
                byte[] request = new byte[2048];
                if (peer.getInputStream().read(request) < 0) {
                    peer.close();
                    continue;
                }
                OutputStream out = peer.getOutputStream();
                out.write(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                .getBytes(StandardCharsets.UTF_8));
                watches.add(peer);
                broadcast(HollowFleet.envelope(1, false, ""));
                watched.countDown();
            } catch (IOException e) {
                // accept the next connection, unless the server is closed
            }
        }
    }

    private void sendHeartbeats() {
        while (!server.isClosed()) {
            try {
                Thread.sleep(HEARTBEAT_MS);
                broadcast("");
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "lab discovery");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket watch : watches) {
            watch.close();
        }
    }
}
