package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * During an upgrade clients send requests of apply-submit. While these are open, bad clients send
 * requests with the same ids.
 */
final class CopiedIdCase extends Case {
    private static final int REQUESTS = 5;
    private static final int COPIES = 12;
    private static final long RUN_MS = 600;
    private static final long PAUSE_MS = 50;
    private static final long END_MS = 6_000;

    /** How often each answer was had, by the kind of client. */
    private final Map<String, Integer> answers = new ConcurrentSkipListMap<>();

    @Override
    void play() throws Exception {
        Discovery discovery = closing(new Discovery(this));
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            Worker worker = closing(new Worker(this, "s-0000000" + i, RUN_MS));
            workers.add(worker);
            discovery.list(worker, "ready");
        }
        PlatformScheduler scheduler =
                new PlatformScheduler(folder, "n1", discovery.port, discovery.completeList());
        PlatformScheduler old = closing(scheduler.process("old"));
        old.start();
        note("the old process says YES to READY");
        Thread.sleep(5_000);
        if (trouble) {
            PlatformScheduler next = closing(scheduler.process("new"));
            next.start();
            note("the new process says YES to READY");
        }
        for (int i = 1; i <= REQUESTS; i++) {
            String id = id(i);
            Threads.start("client", () -> send(scheduler.port, id, "client"));
        }
        Thread.sleep(PAUSE_MS);
        for (int i = 1; i <= REQUESTS; i++) {
            String id = id(i);
            for (int copy = 0; copy < COPIES; copy++) {
                Threads.start("bad-client", () -> send(scheduler.port, id, "bad client"));
            }
        }
        Thread.sleep(PAUSE_MS);
        if (trouble) {
            old.terminate();
            note("SIGTERM to the old process");
        }
        Thread.sleep(END_MS);
        judge(workers);
    }

    private static String id(int number) {
        return String.format("%016x", 0x7b3e5f0000L + number);
    }

    private void send(int port, String id, String sender) throws IOException {
        try (Http http = Http.connect(port)) {
            log(sender + " sends " + id + " apply-submit");
            http.send(
                    "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id
                            + "\r\nX-Service-Class: apply-submit\r\nX-Time-Left: 6000m\r\n"
                            + "Content-Length: 4\r\n\r\nbody");
            Http.Message answer = http.read();
            String told = answer == null ? "a close" : answer.firstLine();
            log(sender + " gets " + id + " " + told);
            answers.merge(sender + ": " + told, 1, Integer::sum);
        }
    }

    private void judge(List<Worker> workers) throws NotPlayed {
        answers.forEach((answer, count) -> note(count + " times " + answer));
        for (int i = 1; i <= REQUESTS; i++) {
            String id = id(i);
            long runs =
                    workers.stream()
                            .flatMap(worker -> worker.received.stream())
                            .filter(job -> job.taken() && job.id().equals(id))
                            .count();
            note(id + " was run " + runs + " times");
            require(runs > 0, "no worker got " + id);
            if (runs > 1) {
                broken(id + " of apply-submit was run " + runs + " times");
            }
        }
    }
}
