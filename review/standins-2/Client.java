package review2;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that sends one job after the other over a kept connection, at a steady pace. */
final class Client implements AutoCloseable {
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger unserved = new AtomicInteger();

    private static final AtomicInteger COUNT = new AtomicInteger();

    private final Case owner;
    private final int port;
    private volatile boolean closed;

    Client(Case owner, int port, String jobClass, int timeLeftMs, long pauseMs) {
        this.owner = owner;
        this.port = port;
        Threads.start("client", () -> send(jobClass, timeLeftMs, pauseMs));
    }

    private void send(String jobClass, int timeLeftMs, long pauseMs)
            throws IOException, InterruptedException {
        Http http = Http.connect(port);
        while (!closed) {
            String id = String.format("%016x", 0x5a00000000L + COUNT.incrementAndGet());
            try {
                http.send(
                        "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id
                                + "\r\nX-Service-Class: " + jobClass + "\r\nX-Time-Left: "
                                + timeLeftMs + "m\r\nContent-Length: 4\r\n\r\nbody");
                owner.log("client sends " + id + " " + jobClass);
                Http.Message answer = http.read();
                owner.log("client gets " + id + " "
                        + (answer == null ? "a close" : answer.firstLine()));
                boolean ok = answer != null && answer.firstLine().contains(" 200 ");
                (ok ? served : unserved).incrementAndGet();
                if (answer == null || "close".equals(answer.field("Connection"))) {
                    http.close();
                    http = Http.connect(port);
                }
            } catch (IOException e) {
                http.close();
                Thread.sleep(50);
                http = Http.connect(port);
            }
            Thread.sleep(pauseMs);
        }
        http.close();
    }

    @Override
    public void close() {
        closed = true;
    }
}
