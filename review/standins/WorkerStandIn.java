import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker as the protocol page describes it: runs each job that arrives for a fixed time and
 * answers with its result.
 */
final class WorkerStandIn {
    private static final int SLOTS = 4;

    /** Receives each run of a job, as it begins. */
    interface Runs {
        void began(String worker, String id, String body);
    }

    final String name;
    final int port;
    private final ServerSocket server;
    private final Runs runs;
    private volatile long runTimeMs;
    private final AtomicInteger running = new AtomicInteger();

    WorkerStandIn(String name, long runTimeMs, Runs runs) throws IOException {
        this.name = name;
        this.runTimeMs = runTimeMs;
        this.runs = runs;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        Threads.daemon(name, this::accept);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Threads.daemon(name + "-connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (Http http = new Http(socket)) {
            for (Http.Message request = http.read(); request != null; request = http.read()) {
                answer(http, request);
            }
        } catch (IOException | InterruptedException e) {
            // the scheduler has ended the connection
        }
    }

    private void answer(Http http, Http.Message request) throws IOException, InterruptedException {
        if (request.start().startsWith("GET")) {
            String load = load();
            http.write("HTTP/1.1 200 OK\r\nContent-Length: " + load.length() + "\r\n\r\n" + load);
            return;
        }
        String id = request.headers().getOrDefault("x-correlation-id", "");
        running.incrementAndGet();
        try {
            runs.began(name, id, request.body());
            http.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + chunk(line(id, "started", "")));
            Thread.sleep(runTimeMs);
        } finally {
            running.decrementAndGet();
        }
        String end = ",\"result\":\"ran " + id + "\",\"load\":" + load();
        http.write(chunk(line(id, "done", end)) + "0\r\n\r\n");
    }

    private String load() {
        int free = Math.max(0, SLOTS - running.get());
        return "{\"util\":" + Math.min(1.0, running.get() / (double) SLOTS) + ",\"eps\":0.0,\"x0\":" + free + "}";
    }

    private String line(String id, String state, String more) {
        return "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"" + state + "\"" + more + "}\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
