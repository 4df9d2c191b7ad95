import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Usual clients send a few requests a second. Bad clients stop in the middle of a request of the
 * largest size, stay until the scheduler ends their connection, and come again. Each usual request
 * has to get its final answer.
 */
public final class BadClientsCase extends Case {
    private static final int WORKERS = 4;
    private static final long RUN_TIME_MS = 60;

    /** With the usual clients, below a third of the 1,024 descriptors of the configuration. */
    private static final int BAD_CLIENTS = 320;

    /** The largest body that the protocol allows. */
    private static final int LARGEST_BODY = 64 * 1024;

    private static final long REQUEST_INTERVAL_MS = 250;
    private static final long TIME_LEFT_MS = 2_000;

    /** A request is lost if it has no answer half a second after its time, and 50 ms on sockets. */
    private static final long LOST_AFTER_MS = TIME_LEFT_MS + 550;

    private static final long QUIET_MS = 2_000;
    private static final long BAD_CLIENTS_FOR_MS = 12_000;
    private static final long AFTERWARDS_MS = 8_000;

    /** Each half request is owed an error or a close within 3 s; a bad client waits for longer. */
    private static final int BAD_CLIENT_TIMEOUT_MS = 5_000;

    private static final int TRIES_OF_A_BAD_CLIENT = 8;
    private static final long PAUSE_IF_NOT_CONNECTED_MS = 500;

    private final AtomicLong nextId = new AtomicLong(0x10000);
    private final Map<String, Integer> usual = new ConcurrentSkipListMap<>();
    private final Map<String, Integer> bad = new ConcurrentSkipListMap<>();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicLong lastAnswerNs = new AtomicLong();
    private volatile boolean badClientsLeave;
    private PlatformScheduler scheduler;

    public static void main(String[] args) {
        Case.main(new BadClientsCase(), args);
    }

    @Override
    String play() throws Exception {
        List<WorkerStandIn> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(
                    new WorkerStandIn(
                            "w-" + i,
                            RUN_TIME_MS,
                            (worker, id, body) -> record.log("worker %s: RUNS %s", worker, id)));
        }
        DiscoveryStandIn discovery = new DiscoveryStandIn(workers);
        scheduler =
                new PlatformScheduler(
                        root,
                        folder,
                        Files.createDirectory(folder.resolve("tmp")),
                        Ports.free(),
                        discovery.port,
                        record);
        scheduler.start();
        sendUsualRequests(QUIET_MS);
        require(lost.get() == 0, "requests are lost before the disruption");
        if (trouble) {
            record.log("%d bad clients come", BAD_CLIENTS);
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Threads.daemon("bad-client", this::stopInTheMiddle);
            }
        }
        sendUsualRequests(BAD_CLIENTS_FOR_MS);
        badClientsLeave = true;
        record.log("the bad clients leave");
        Thread.sleep(BAD_CLIENT_TIMEOUT_MS); // the last of them is gone
        long aloneNs = System.nanoTime();
        sendUsualRequests(AFTERWARDS_MS);
        Thread.sleep(LOST_AFTER_MS + 500);
        String ready = scheduler.manage("READY");
        boolean answersNobody = ready.isEmpty() && lastAnswerNs.get() < aloneNs;
        record.log("answers to usual clients: %s", usual);
        record.log("answers to bad clients: %s", bad);
        record.log(
                "without bad clients again: the process is %s; READY is answered: %s; usual clients"
                        + " get %s",
                scheduler.isAlive() ? "alive" : "dead",
                ready.isEmpty() ? "nothing" : ready,
                lastAnswerNs.get() < aloneNs ? "no answer" : "answers");
        record.log(
                "scheduler: %d lines of its log tell of an OutOfMemoryError",
                scheduler.logLines("OutOfMemoryError"));
        if (lost.get() == 0 && !answersNobody) {
            return null;
        }
        String process = scheduler.isAlive() ? "the process hangs" : "the process has ended";
        return "lost: " + lost.get() + " usual requests got no final answer"
                + (answersNobody ? "; " + process + ", also without the bad clients" : "");
    }

    private void sendUsualRequests(long forMs) throws InterruptedException {
        long untilNs = System.nanoTime() + ms(forMs);
        while (System.nanoTime() < untilNs) {
            Threads.daemon("usual-client", this::sendUsualRequest);
            Thread.sleep(REQUEST_INTERVAL_MS);
        }
    }

    /**
     * Sends a request on a new connection. It counts as taken once its last byte is written, and as
     * lost if nothing has come when half a second after its time is over. A connection that the
     * scheduler ends unanswered is not counted, since it may not have read the request.
     */
    private void sendUsualRequest() {
        String id = String.format("%016x", nextId.incrementAndGet());
        String outcome;
        try (Http http = Http.connect(scheduler.port, 1_000)) {
            http.write(Http.job(id, "status-read", TIME_LEFT_MS, "status of " + id));
            http.socket.setSoTimeout((int) LOST_AFTER_MS);
            try {
                Http.Message answer = http.read();
                outcome = answer == null ? "closed unanswered" : "" + answer.status();
                if (answer != null) {
                    lastAnswerNs.set(System.nanoTime());
                }
            } catch (SocketTimeoutException e) {
                lost.incrementAndGet();
                outcome = "LOST: no answer " + LOST_AFTER_MS + " ms after the last byte";
            }
        } catch (IOException e) {
            outcome = "not connected: " + e.getMessage();
        }
        usual.merge(outcome, 1, Integer::sum);
        record.log("usual client: %s -> %s", id, outcome);
    }

    /** Sends all but the last byte of a request, stays until it is ended, and comes again. */
    private void stopInTheMiddle() {
        String body = "x".repeat(LARGEST_BODY);
        for (int i = 0; i < TRIES_OF_A_BAD_CLIENT && !badClientsLeave; i++) {
            String id = String.format("%016x", nextId.incrementAndGet());
            String request = Http.job(id, "list-report", TIME_LEFT_MS, body);
            String outcome;
            try (Http http = Http.connect(scheduler.port, BAD_CLIENT_TIMEOUT_MS)) {
                http.write(request.substring(0, request.length() - 1));
                Http.Message answer = http.read();
                outcome = answer == null ? "closed" : "" + answer.status();
            } catch (IOException e) {
                outcome = e.getMessage();
                pause();
            }
            bad.merge(outcome, 1, Integer::sum);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_IF_NOT_CONNECTED_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
