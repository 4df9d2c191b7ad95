package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A worker of the platform's protocol, which runs each job for the same time. */
final class Worker implements AutoCloseable {
    /** A job that reached this worker, and when its first byte came. */
    record Received(String id, long firstByteNs, boolean taken) {}

    final String id;
    final int port;
    final List<Received> received = new CopyOnWriteArrayList<>();

    private static final int SLOTS = 8;

    private final Case owner;
    private final ServerSocket listener;
    private final long runMs;
    private volatile boolean draining;

    Worker(Case owner, String id, long runMs) throws IOException {
        this.owner = owner;
        this.id = id;
        this.runMs = runMs;
        listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        Threads.start(
                id,
                () -> {
                    while (true) {
                        Socket socket = listener.accept();
                        Threads.start(id + "-connection", () -> serve(new Http(socket)));
                    }
                });
    }

    /** From now on it completes what it has, and turns new jobs away. */
    void drain() {
        draining = true;
    }

    private void serve(Http http) throws IOException, InterruptedException {
        try (http) {
            for (Http.Message message = http.read(); message != null; message = http.read()) {
                if (message.firstLine().startsWith("GET ")) {
                    http.send(answer(draining ? "503 Service Unavailable" : "200 OK", ""));
                } else {
                    serveJob(http, message);
                }
            }
        }
    }

    private void serveJob(Http http, Http.Message job) throws IOException, InterruptedException {
        String jobId = job.field("X-Correlation-Id");
        boolean taken = !draining;
        owner.log(id + " gets " + jobId + (taken ? ", runs it" : ", turns it away"));
        received.add(new Received(jobId, job.firstByteNs(), taken));
        if (!taken) {
            http.send(answer("503 Service Unavailable", "X-Unprocessed: 1\r\n"));
            return;
        }
        http.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        http.chunk(state(jobId, "started", ""));
        Thread.sleep(runMs);
        http.chunk(
                state(
                        jobId,
                        "done",
                        ",\"result\":\"result of " + jobId + "\",\"load\":{\"util\":0.2,\"eps\":0,"
                                + "\"x0\":" + SLOTS + "}"));
        http.send("0\r\n\r\n");
    }

    private static String answer(String status, String fields) {
        return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: 0\r\n\r\n";
    }

    private String state(String jobId, String state, String more) {
        return "{\"id\":\"" + jobId + "\",\"from\":\"" + id + "\",\"state\":\"" + state + "\"" + more
                + "}";
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
