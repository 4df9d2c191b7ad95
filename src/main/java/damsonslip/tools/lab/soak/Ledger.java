package damsonslip.tools.lab.soak;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What clients and workers saw of each request; written by many threads, read once the run is over.
 */
final class Ledger {
    /** What repeating a request does. */
    enum Effect {
        REPEATABLE,
        KEYED,
        ONCE
    }

    /** How a request ended for its client. */
    enum End {
        /** An answer came. */
        ANSWERED,
        /** The client left before there was one. */
        LEFT,
        /** A new connection was closed or reset with no answer. */
        CLOSED_NEW,
        /**
         * A kept connection was closed or reset with no answer: it may have crossed the request.
         */
        CLOSED_KEPT,
        /** Its time, and half a second more, passed with no answer. */
        UNANSWERED,
        /** It was not written whole: its connection did not come up, or ended before. */
        NOT_SENT
    }

    /** A request as its client sees it. */
    static final class Request {
        final String id;
        final int scheduler;
        final Effect effect;
        final long timeLeftUs;

        /** Before its first byte was written, and after its last. */
        volatile long beganUs;

        volatile long sentUs;
        volatile long leftUs = Long.MAX_VALUE / 2; // never, with room to add to it
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
     * A request that came to a worker whole.
     *
     * @param incarnation how often the worker had been started anew by then
     * @param toldUs the time that it says is left
     */
    static final class Attempt {
        final String worker;
        final String zone;
        final int incarnation;
        final long beganUs;
        final long wholeUs;
        final long toldUs;
        volatile boolean provenNotRun;

        Attempt(
                String worker,
                String zone,
                int incarnation,
                long beganUs,
                long wholeUs,
                long toldUs) {
            this.worker = worker;
            this.zone = zone;
            this.incarnation = incarnation;
            this.beganUs = beganUs;
            this.wholeUs = wholeUs;
            this.toldUs = toldUs;
        }
    }

    /** Something that broke a rule by itself. */
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

    void find(String rule, String id, String detail) {
        findings.add(new Finding(rule, id, detail));
    }

    Queue<Finding> findings() {
        return findings;
    }
}
