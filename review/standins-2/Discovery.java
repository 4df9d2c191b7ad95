package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Discovery, with the path to it. The path can be cut: open connections then stay open and quiet, and
 * new ones never come up, since the queue of the listener is full and nothing is accepted from it.
 */
final class Discovery implements AutoCloseable {
    final int port;

    private static final long BEAT_MS = 2_000;
    private static final int CONNECT_TIMEOUT_MS = 250;
    private static final int MAX_FILLERS = 20;

    private final Case owner;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final ServerSocket listener;
    private final List<Socket> fillers = new ArrayList<>();
    private int generation = 1;
    private boolean cut;
    private volatile long lastWriteNs;

    Discovery(Case owner) throws IOException {
        this.owner = owner;
        listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        Threads.start("discovery", this::accept);
    }

    private void accept() throws IOException, InterruptedException {
        while (true) {
            awaitUncut();
            Socket socket = listener.accept();
            awaitUncut();
            Threads.start("discovery-connection", () -> serve(new Http(socket)));
        }
    }

    private synchronized void awaitUncut() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    /** Lists a worker in this state, from now on. */
    synchronized void list(Worker worker, String lifecycle) {
        entries.put(
                worker.id,
                "{\"instanceId\":\"" + worker.id + "\",\"hostPort\":\"127.0.0.1:" + worker.port
                        + "\",\"zone\":\"dc-1\",\"machineType\":\"type-a\",\"cell\":0,\"lifecycle\":\""
                        + lifecycle + "\",\"weight\":1.0,\"startedAtMs\":0}");
        generation++;
        notifyAll();
    }

    synchronized String completeList() {
        return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
                + String.join(",", entries.values()) + "]}";
    }

    /** When something was written to a watch last, in the time of System.nanoTime. */
    long lastWriteNs() {
        return lastWriteNs;
    }

    /** Cuts the path. */
    void cut() throws IOException {
        synchronized (this) {
            cut = true;
        }
        for (int i = 0; i < MAX_FILLERS; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(
                        new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port),
                        CONNECT_TIMEOUT_MS);
            } catch (SocketTimeoutException e) {
                owner.note("the path to discovery is cut: " + e.getMessage());
                return;
            }
        }
        throw new IOException("the path to discovery could not be cut");
    }

    /** Restores the path. */
    synchronized void restore() throws IOException {
        cut = false;
        for (Socket filler : fillers) {
            filler.close();
        }
        notifyAll();
        owner.note("the path to discovery is restored");
    }

    private void serve(Http http) throws IOException, InterruptedException {
        try (http) {
            for (Http.Message call = http.read(); call != null; call = http.read()) {
                if (call.firstLine().contains("watch=1")) {
                    owner.note("discovery gets " + call.firstLine());
                    watch(http);
                    return;
                }
                String list = completeList();
                http.send("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
            }
        }
    }

    private void watch(Http http) throws IOException, InterruptedException {
        http.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        int sent = -1;
        while (true) {
            String line = "";
            synchronized (this) {
                long endMs = Case.nowMs() + BEAT_MS;
                while (sent == generation && Case.nowMs() < endMs) {
                    wait(Math.max(1, endMs - Case.nowMs()));
                }
                while (cut) {
                    wait();
                }
                if (sent != generation) {
                    sent = generation;
                    line = completeList();
                }
            }
            http.chunk(line);
            lastWriteNs = System.nanoTime();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket filler : fillers) {
            filler.close();
        }
    }
}
