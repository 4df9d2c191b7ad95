package damsonslip.engine;

import damsonslip.engine.invariants.RetryGuard.EarlierAttempt;
import damsonslip.engine.invariants.RetryGuard.WorkerLocation;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.LoadReport;

/** One attempt to have a query done by a worker. */
public final class Attempt {
    final RequestContext exchange;
    final int number;
    private final String worker;
    private final long sentUs;
    private final long endsByUs;
    private final long beginsByUs;
    EventLoop.Timer timeout;
    boolean open = true;

    /** How it ended; null while it is open. */
    AttemptOutcome outcome;

    private final WorkerLocation place;

    Attempt(
            RequestContext exchange,
            int number,
            WorkerLocation place,
            long sentUs,
            long beginsByUs,
            long endsByUs) {
        this.exchange = exchange;
        this.number = number;
        this.place = place;
        this.worker = place.worker();
        this.sentUs = sentUs;
        this.beginsByUs = beginsByUs;
        this.endsByUs = endsByUs;
    }

    public Request query() {
        return exchange.query();
    }

    /** How many executions of the same query came before. */
    public int number() {
        return number;
    }

    public String worker() {
        return worker;
    }

    public long sentUs() {
        return sentUs;
    }

    /**
     * Whether it may still be written to its worker. Guards what was decided some time ago, before
     * a connection came up: its client may have gone since, or the time in which its worker would
     * know it for a repeat has passed. The client's connection is read for that, since its close
     * may wait there behind a long turn of the loop.
     */
    public boolean mayBegin(long nowUs) {
        return open && nowUs < beginsByUs && exchange.isAwaited() && open;
    }

    /**
     * Whether its client still waits, by all that has come from it; if not, its end may have been
     * told in the call.
     */
    public boolean isAwaited() {
        return exchange.isAwaited();
    }

    /**
     * How long the request is reckoned to take until its last byte has come, by earlier executions
     * that were given up while it was written; a worker is told of so much less time.
     */
    public long expectedUploadUs() {
        return exchange.slowestUploadUs;
    }

    /** A worker would have taken so long to take the whole request. */
    public void uploadTakes(long us) {
        exchange.slowestUploadUs = Math.max(exchange.slowestUploadUs, us);
    }

    /** When the scheduler stops waiting for it. */
    public long endsByUs() {
        return endsByUs;
    }

    /** The same for the guard of further attempts. */
    EarlierAttempt earlier() {
        return new EarlierAttempt(place, sentUs, open, !open && outcome.provesNotRun());
    }

    /** Whether its end is still awaited. */
    public boolean open() {
        return open;
    }

    /**
     * How an execution ended.
     *
     * @param outcome what is proved by it
     * @param report the worker's load, or null
     * @param result what the worker gave, where it served
     */
    public record End(AttemptOutcome outcome, LoadReport report, String result) {
        public static End of(AttemptOutcome outcome) {
            return new End(outcome, null, null);
        }
    }
}
