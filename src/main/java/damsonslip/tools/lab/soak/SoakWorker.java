package damsonslip.tools.lab.soak;

import damsonslip.tools.lab.soak.Ledger.Attempt;
import damsonslip.tools.lab.soak.Ledger.Request;
import damsonslip.tools.lab.soak.Membership.Entry;
import damsonslip.tools.lab.soak.Membership.Lifecycle;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/**
 * A worker on loopback, well or in one of its troubles; it writes down every attempt that comes to
 * it.
 */
final class SoakWorker {
    /** How it treats what comes. */
    enum Mood {
        /** Serves. */
        WELL,
        /** Takes requests and says nothing more. */
        HANGING,
        /** Answers 500 at once. */
        FAILING,
        /** Resets the connection after the job's first line. */
        RESETTING,
        /** Closes every connection behind an answer, without a word. */
        CLOSING_IDLE,
        /** Sends its answers in small pieces. */
        IN_PIECES,
        /** Sends a second answer some milliseconds behind each. */
        ANSWERING_TWICE,
        /** Sends what is no HTTP. */
        GARBLED,
        /** Turns everything away unprocessed. */
        TURNING_AWAY
    }

    static final int SLOTS = 4;
    private static final int BACKLOG = 200;
    static final double MEAN_JOB_US = 25_000;
    private static final long HANG_US = 20 * Clock.SECOND;

    private final String id;
    private final String zone;
    private final Ledger ledger;
    private final Membership membership;
    private final Random random;
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final Set<Wire> open = ConcurrentHashMap.newKeySet();
    private volatile Mood mood = Mood.WELL;
    private volatile boolean draining;
    private volatile ServerSocket server;

    /** What schedulers reach it through; null if they reach it directly. */
    private final FaultProxy proxy;

    private volatile int incarnation;
    private volatile long startedUs;
    private volatile long startedMs;

    /**
     * @param behindProxy whether schedulers reach it through a network that can be harmed
     */
    SoakWorker(
            String id,
            String zone,
            Ledger ledger,
            Membership membership,
            long seed,
            boolean behindProxy)
            throws IOException {
        this.id = id;
        this.zone = zone;
        this.ledger = ledger;
        this.membership = membership;
        this.random = new Random(seed);
        listen(0);
        int port = server.getLocalPort(); // it comes back there
        this.proxy = behindProxy ? new FaultProxy(() -> port, seed) : null;
        list(Lifecycle.READY);
    }

    String id() {
        return id;
    }

    /** When it was last started in the run; 0 if long ago. */
    long startedUs() {
        return startedUs;
    }

    int incarnation() {
        return incarnation;
    }

    void mood(Mood next) {
        mood = next;
    }

    /** Has the list say this of it; as it drains, it denies probes from the moment before. */
    void list(Lifecycle lifecycle) {
        draining = lifecycle == Lifecycle.DRAINING;
        int port = proxy == null ? server.getLocalPort() : proxy.port();
        membership.put(new Entry(id, port, zone, lifecycle, startedMs));
    }

    /** What the network to it does from now on, if that can be harmed. */
    void network(FaultProxy.Condition condition) {
        if (proxy != null) {
            proxy.condition(condition);
        }
    }

    /** Dies, resetting its connections; new ones are refused. */
    void die() throws IOException {
        server.close();
        for (Wire wire : open) {
            wire.reset();
        }
    }

    /** Comes back cold at its old address. */
    void comeBack() throws IOException {
        incarnation++;
        startedUs = Clock.nowUs();
        startedMs = System.currentTimeMillis();
        listen(server.getLocalPort());
        list(Lifecycle.READY);
    }

    private void listen(int port) throws IOException {
        ServerSocket fresh = new ServerSocket();
        fresh.setReuseAddress(true);
        fresh.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        server = fresh;
        Threads.start(
                id,
                () -> {
                    while (!fresh.isClosed()) {
                        Wire wire = new Wire(fresh.accept());
                        Threads.start(id, () -> serve(wire));
                    }
                });
    }

    private void serve(Wire wire) throws IOException, InterruptedException {
        open.add(wire);
        try (wire) {
            while (true) {
                Wire.Message message = wire.read();
                if (message == null) {
                    return;
                }
                if (message.first().startsWith("GET")) {
                    wire.send(
                            "HTTP/1.1 "
                                    + (draining ? "503 No" : "200 OK")
                                    + "\r\nX-Backend-Load: TEXT x0="
                                    + slots.availablePermits()
                                    + "\r\nContent-Length: 0\r\n\r\n");
                } else if (!job(wire, message)) {
                    return;
                }
            }
        } finally {
            open.remove(wire);
        }
    }

    /** Treats a job as its mood is; tells whether the connection stays. */
    private boolean job(Wire wire, Wire.Message message) throws IOException, InterruptedException {
        String job = message.field("X-Correlation-Id");
        Request request = ledger.request(job);
        if (request == null) {
            ledger.find(
                    "stranger",
                    String.valueOf(job),
                    "worker " + id + " got an id that no client sent");
            wire.send("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        long beganUs =
                proxy == null
                        ? message.beganUs()
                        : proxy.beganUs(wire.peerPort(), message.beganUs());
        Attempt attempt =
                new Attempt(
                        id,
                        zone,
                        incarnation,
                        beganUs,
                        message.wholeUs(),
                        micros(message.field("X-Time-Left")));
        request.attempts.add(attempt);
        switch (mood) {
            case HANGING -> {
                Clock.sleepUs(HANG_US);
                return false;
            }
            case FAILING -> wire.send("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
            case TURNING_AWAY -> {
                attempt.provenNotRun = true;
                wire.send("HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
            }
            case GARBLED -> {
                wire.send("SMTP ready\r\n\r\n");
                return false;
            }
            default -> {
                return run(wire, job);
            }
        }
        return true;
    }

    private boolean run(Wire wire, String job) throws IOException, InterruptedException {
        slots.acquire();
        try {
            wire.send(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + chunk(line(job, "started", "")));
            Clock.sleepUs((long) (-Math.log(1 - random.nextDouble()) * MEAN_JOB_US));
            if (mood == Mood.RESETTING) {
                wire.reset();
                return false;
            }
            String end =
                    chunk(
                                    line(
                                            job,
                                            "done",
                                            ",\"result\":\"r-"
                                                    + job
                                                    + "\",\"load\":{\"x0\":"
                                                    + slots.availablePermits()
                                                    + "}"))
                            + "0\r\n\r\n";
            if (mood == Mood.IN_PIECES) {
                wire.sendInPieces(end, 6, 2 * Clock.MILLISECOND);
            } else {
                wire.send(end);
            }
        } finally {
            slots.release();
        }
        if (mood == Mood.ANSWERING_TWICE) {
            Clock.sleepUs(5 * Clock.MILLISECOND);
            wire.send("HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        return mood != Mood.CLOSING_IDLE;
    }

    private String line(String job, String state, String more) {
        return "{\"id\":\""
                + job
                + "\",\"from\":\""
                + id
                + "\",\"state\":\""
                + state
                + "\""
                + more
                + "}\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static long micros(String told) {
        if (told == null) {
            return 0;
        }
        long figure = Long.parseLong(told.substring(0, told.length() - 1));
        return told.endsWith("m") ? figure * Clock.MILLISECOND : figure;
    }

    void close() throws IOException {
        if (proxy != null) {
            proxy.close();
        }
        server.close();
        for (Wire wire : open) {
            wire.close();
        }
    }
}
