package damsonslip.tools.lab.soak;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Records what clients and workers observed of each request. Written by many threads, read after
 * the run.
 */
final class Ledger {
    /** Whether a request may be repeated: always, with an idempotency key, or never. */
    enum Effect {
        REPEATABLE,
        KEYED,
        ONCE
    }

    /** Outcome of a request for its client. */
    enum End {
        /** Answered. */
        ANSWERED,
        /** The client disconnected before an answer arrived. */
        LEFT,
        /** A new connection was closed or reset without an answer. */
        CLOSED_NEW,
        /**
         * A reused connection was closed or reset without an answer: the close may have crossed the
         * request on the way.
         */
        CLOSED_KEPT,
        /** No answer within the request's time and half a second more. */
        UNANSWERED,
        /** Not sent completely: the connection failed to open or ended before. */
        NOT_SENT
    }

    /** A request as seen by its client. */
    static final class Request {
        final String id;
        final int scheduler;
        final Effect effect;
        final long timeLeftUs;

        /** Time before the first byte was written; {@link #sentUs} is the time after the last. */
        volatile long beganUs;

        volatile long sentUs;
        volatile long disconnectedUs =
                Long.MAX_VALUE / 2; // never; half of the range avoids overflow in sums
        volatile long endedUs;
        volatile End end;
        volatile int status;
        volatile String result;
        final List<Attempt> attempts = new CopyOnWriteArrayList<>();

        Request(String id, int scheduler, Effect effect, long timeLeftUs) {
            this.id = id;
            this.scheduler = scheduler;
            this.effect = effect;
            this.timeLeftUs = timeLeftUs;
        }
    }

    /**
     * A request received completely by a worker.
     *
     * @param incarnation number of restarts of the worker until then
     * @param statedTimeLeftUs remaining time as stated in the request
     */
    static final class Attempt {
        final String worker;
        final String zone;
        final int incarnation;
        final long beganUs;
        final long receivedUs;
        final long statedTimeLeftUs;
        volatile boolean provenNotRun;

        Attempt(
                String worker,
                String zone,
                int incarnation,
                long beganUs,
                long receivedUs,
                long statedTimeLeftUs) {
            this.worker = worker;
            this.zone = zone;
            this.incarnation = incarnation;
            this.beganUs = beganUs;
            this.receivedUs = receivedUs;
            this.statedTimeLeftUs = statedTimeLeftUs;
        }
    }

    /** A violation of a rule. */
    record Finding(String rule, String id, String detail) {}

    private final Map<String, Request> requests = new ConcurrentHashMap<>();
    private final Queue<Finding> findings = new ConcurrentLinkedQueue<>();

    void add(Request request) {
        requests.put(request.id, request);
    }

    /** The request with this id; null if no client sent it. */
    Request request(String id) {
        return id == null ? null : requests.get(id);
    }

    Iterable<Request> requests() {
        return requests.values();
    }

    int size() {
        return requests.size();
    }

    void report(String rule, String id, String detail) {
        findings.add(new Finding(rule, id, detail));
    }

    Queue<Finding> findings() {
        return findings;
    }
}
