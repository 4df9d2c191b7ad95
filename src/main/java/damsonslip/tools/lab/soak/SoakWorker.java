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
 * A worker on loopback that behaves normally or in one of several faulty ways, and records every
 * attempt.
 */
final class SoakWorker {
    /** How the worker handles requests. */
    enum Behavior {
        /** Serves requests. */
        NORMAL,
        /** Reads requests and never answers. */
        HANGING,
        /** Answers 500 at once. */
        FAILING,
        /** Resets the connection after the job's first line. */
        RESETTING,
        /** Closes the connection after each answer without announcing it. */
        CLOSING_IDLE,
        /** Sends its answers in small pieces. */
        IN_PIECES,
        /** Sends a second answer a few milliseconds after each. */
        ANSWERING_TWICE,
        /** Answers with something that is not HTTP. */
        GARBLED,
        /** Rejects all requests as unprocessed. */
        REJECTING
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
    private volatile Behavior behavior = Behavior.NORMAL;
    private volatile boolean draining;
    private volatile ServerSocket server;

    /** The proxy in front of the worker; null if schedulers connect directly. */
    private final FaultProxy proxy;

    private volatile int incarnation;
    private volatile long startedUs;
    private volatile long startedMs;

    /**
     * @param behindProxy whether schedulers connect through a {@link FaultProxy}
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
        int port = server.getLocalPort(); // kept across restarts
        this.proxy = behindProxy ? new FaultProxy(() -> port, seed) : null;
        list(Lifecycle.READY);
    }

    String id() {
        return id;
    }

    /** Time of the last restart in the run; 0 if there was none. */
    long startedUs() {
        return startedUs;
    }

    int incarnation() {
        return incarnation;
    }

    void behavior(Behavior next) {
        behavior = next;
    }

    /**
     * Publishes this state in the endpoint list. A draining worker fails its health checks from
     * just before that.
     */
    void list(Lifecycle lifecycle) {
        draining = lifecycle == Lifecycle.DRAINING;
        int port = proxy == null ? server.getLocalPort() : proxy.port();
        membership.put(new Entry(id, port, zone, lifecycle, startedMs));
    }

    /** Sets the condition of the proxy; no effect without one. */
    void network(FaultProxy.Condition condition) {
        if (proxy != null) {
            proxy.condition(condition);
        }
    }

    /** Stops listening and resets all connections. */
    void crash() throws IOException {
        server.close();
        for (Wire wire : open) {
            wire.reset();
        }
    }

    /** Listens again at the same address, as a new incarnation that has to warm up. */
    void restart() throws IOException {
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

    /** Handles a job according to the behavior; returns whether the connection stays open. */
    private boolean job(Wire wire, Wire.Message message) throws IOException, InterruptedException {
        String job = message.field("X-Correlation-Id");
        Request request = ledger.request(job);
        if (request == null) {
            ledger.report(
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
                        message.receivedUs(),
                        micros(message.field("X-Time-Left")));
        request.attempts.add(attempt);
        switch (behavior) {
            case HANGING -> {
                Clock.sleepUs(HANG_US);
                return false;
            }
            case FAILING -> wire.send("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
            case REJECTING -> {
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
            if (behavior == Behavior.RESETTING) {
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
            if (behavior == Behavior.IN_PIECES) {
                wire.sendInPieces(end, 6, 2 * Clock.MILLISECOND);
            } else {
                wire.send(end);
            }
        } finally {
            slots.release();
        }
        if (behavior == Behavior.ANSWERING_TWICE) {
            Clock.sleepUs(5 * Clock.MILLISECOND);
            wire.send("HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        return behavior != Behavior.CLOSING_IDLE;
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

    private static long micros(String text) {
        if (text == null) {
            return 0;
        }
        long figure = Long.parseLong(text.substring(0, text.length() - 1));
        return text.endsWith("m") ? figure * Clock.MILLISECOND : figure;
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
