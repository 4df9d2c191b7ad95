package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Besides some usual clients, hundreds of clients send a request of the largest size at once, and the
 * next one as soon as they have their answer or are turned away. All together hold fewer connections
 * than a third of the descriptors.
 */
final class CrowdedHeapCase extends Case {
    private static final int USUAL_CLIENTS = 20;
    private static final int CROWD = 320;
    private static final int BODY_BYTES = 64 * 1024;
    private static final long QUIET_MS = 5_000;
    private static final long CROWD_MS = 90_000;

    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile boolean over;

    @Override
    void play() throws Exception {
        Discovery discovery = closing(new Discovery(this));
        for (int i = 1; i <= 12; i++) {
            Worker worker = closing(new Worker(this, String.format("s-%08x", i), 400));
            discovery.list(worker, "ready");
        }
        PlatformScheduler scheduler =
                closing(
                        new PlatformScheduler(
                                folder, "n1", discovery.port, discovery.completeList()));
        scheduler.start();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            clients.add(closing(new Client(this, scheduler.port, "status-read", 5_000, 800)));
        }
        Thread.sleep(QUIET_MS);
        note("usual clients only: " + answers(clients));
        if (trouble) {
            note(CROWD + " more clients send " + BODY_BYTES + " bytes each");
            for (int i = 0; i < CROWD; i++) {
                int number = i;
                Threads.start("crowd", () -> crowd(scheduler.port, number));
            }
        }
        long end = nowMs() + CROWD_MS;
        while (nowMs() < end && scheduler.isAlive()) {
            Thread.sleep(200);
        }
        over = true;
        clients.forEach(Client::close);
        note("usual clients: " + answers(clients) + "; the others sent " + sent + " and had "
                + answered + " answers");
        if (!scheduler.isAlive()) {
            scheduler.log().lines().filter(line -> line.contains("Terminating")).forEach(this::note);
            broken("the scheduler's process has ended by itself");
        }
    }

    private void crowd(int port, int number) throws IOException, InterruptedException {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        int count = 0;
        while (!over) {
            try (Http http = Http.connect(port)) {
                boolean open = true;
                while (open && !over) {
                    String id = String.format("%08x%08x", 0xc0000 + number, ++count);
                    byte[] head =
                            ("POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id
                                            + "\r\nX-Service-Class: status-read\r\nX-Time-Left: "
                                            + "5000m\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                                    .getBytes(StandardCharsets.UTF_8);
                    log("crowd sends " + id);
                    sent.incrementAndGet();
                    http.socket.getOutputStream().write(head);
                    http.socket.getOutputStream().write(body);
                    Http.Message answer = http.read();
                    open = answer != null && !"close".equals(answer.field("Connection"));
                    answered.addAndGet(answer == null ? 0 : 1);
                    log("crowd gets " + id + " " + (answer == null ? "a close" : answer.firstLine()));
                }
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
    }

    private static String answers(List<Client> clients) {
        int served = clients.stream().mapToInt(client -> client.served.get()).sum();
        int unserved = clients.stream().mapToInt(client -> client.unserved.get()).sum();
        return served + " served, " + unserved + " others";
    }
}
