package damsonslip.engine;

import damsonslip.engine.invariants.RetryGuard.EarlierAttempt;
import damsonslip.engine.invariants.RetryGuard.WorkerLocation;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.LoadReport;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * One attempt to have a request served by a worker.
 *
 * <p>Used on the {@link EventLoop} only; times are in microseconds on its clock.
 */
public final class Attempt {
    /** The progress of the attempt, as known to the engine. */
    enum State {
        /** Passed to the {@link WorkerGateway}. */
        SENT,
        /** The worker has reported that it started the request. */
        RUNNING,
        /** Ended with an outcome; later reports are ignored. */
        ENDED;

        /** A worker may report more than once that it started a request. */
        private static final Map<State, Set<State>> SUCCESSORS =
                new EnumMap<>(
                        Map.of(
                                SENT, EnumSet.of(RUNNING, ENDED),
                                RUNNING, EnumSet.of(RUNNING, ENDED),
                                ENDED, EnumSet.noneOf(State.class)));

        boolean canMoveTo(State next) {
            return SUCCESSORS.get(this).contains(next);
        }
    }

    private final RequestContext context;
    private final int number;
    private final WorkerLocation location;
    private final long sentUs;
    private final long startByUs;
    private final long timeoutAtUs;
    private EventLoop.Timer timeout;
    private State state = State.SENT;

    /** Null until the attempt has ended. */
    private AttemptOutcome outcome;

    /**
     * Creates the next attempt of a request.
     *
     * @param timeoutAtUs when the scheduler stops waiting for it
     */
    Attempt(RequestContext context, WorkerLocation location, long sentUs, long timeoutAtUs) {
        this.context = context;
        this.number = context.attempts().size();
        this.location = location;
        this.sentUs = sentUs;
        this.startByUs = context.retryUntilUs();
        this.timeoutAtUs = timeoutAtUs;
    }

    /** Returns the request that is attempted. */
    public Request request() {
        return context.request();
    }

    RequestContext context() {
        return context;
    }

    /** Returns how many attempts of the same request were made before this one. */
    public int number() {
        return number;
    }

    /** Returns the id of the worker that the attempt goes to. */
    public String worker() {
        return location.worker();
    }

    /** Returns when the policy sent the attempt. */
    public long sentUs() {
        return sentUs;
    }

    /**
     * Whether the attempt may still be written to its worker. Called when a connection that the
     * attempt had to wait for is ready: the client may have disconnected meanwhile, or the window
     * in which workers recognize a retry may have passed. Reads the pending input of the client's
     * connection, since a close may be queued there while the loop is busy.
     */
    public boolean mayBeWritten(long nowUs) {
        // reading the client's input may end this attempt, so its state is checked again
        return isOpen() && nowUs < startByUs && context.isClientWaiting() && isOpen();
    }

    /** Whether the attempt is open and its request is neither answered nor abandoned. */
    public boolean isAwaited() {
        return isOpen() && !context.isClosed();
    }

    /**
     * Whether the client still waits. Reads the pending input of its connection first, so the
     * attempt may have ended when this call returns.
     */
    public boolean isClientWaiting() {
        return context.isClientWaiting();
    }

    /**
     * Returns how long the upload of the request is expected to take, in microseconds, according to
     * earlier attempts that were abandoned during the upload. The worker's time limit is reduced by
     * this time.
     */
    public long expectedUploadUs() {
        return context.expectedUploadUs();
    }

    /** Records how long the upload to a worker would have taken, in microseconds. */
    public void recordUploadTime(long uploadUs) {
        context.recordUploadTime(uploadUs);
    }

    /** Returns when the scheduler stops waiting for the attempt. */
    public long timeoutAtUs() {
        return timeoutAtUs;
    }

    /** Whether the attempt has not ended yet. */
    public boolean isOpen() {
        return state != State.ENDED;
    }

    State state() {
        return state;
    }

    /** Sets the timer that ends the attempt when it times out. */
    void startTimeout(EventLoop.Timer timer) {
        timeout = timer;
    }

    /** Records that the worker started the request; returns false if the attempt has ended. */
    boolean markRunning() {
        return moveTo(State.RUNNING);
    }

    /** Ends the attempt and cancels its timeout; returns false if it had ended before. */
    boolean end(AttemptOutcome outcome) {
        if (!moveTo(State.ENDED)) {
            return false;
        }
        this.outcome = outcome;
        timeout.cancel();
        return true;
    }

    private boolean moveTo(State next) {
        if (!state.canMoveTo(next)) {
            return false;
        }
        state = next;
        return true;
    }

    /** Returns this attempt as the invariant guard of retries sees it. */
    EarlierAttempt asEarlierAttempt() {
        return new EarlierAttempt(location, sentUs, isOpen(), !isOpen() && outcome.provesNotRun());
    }

    /**
     * How an attempt ended.
     *
     * @param outcome what the end proves about the execution of the request
     * @param report the worker's load report; null if it sent none
     * @param result what the worker returned, if it served the request; null otherwise
     */
    public record Completion(AttemptOutcome outcome, LoadReport report, String result) {
        /** Returns a completion without load report and result. */
        public static Completion of(AttemptOutcome outcome) {
            return new Completion(outcome, null, null);
        }
    }
}
