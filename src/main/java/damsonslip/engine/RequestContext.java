package damsonslip.engine;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The state of one accepted request: its attempts and its single final response. It connects the
 * client side with the worker side, which do not depend on each other.
 *
 * <p>Used on the {@link EventLoop} only.
 */
public final class RequestContext {
    /** Whether the client still waits for the final response. */
    enum State {
        /** The client waits for the final response. */
        OPEN,
        /** The final response was given. */
        ANSWERED,
        /** The client disconnected before the final response. */
        ABANDONED;

        private static final Map<State, Set<State>> SUCCESSORS =
                new EnumMap<>(
                        Map.of(
                                OPEN, EnumSet.of(ANSWERED, ABANDONED),
                                ANSWERED, EnumSet.noneOf(State.class),
                                ABANDONED, EnumSet.noneOf(State.class)));

        boolean canMoveTo(State next) {
            return SUCCESSORS.get(this).contains(next);
        }
    }

    private final Request request;
    private final ResponseListener listener;
    private final BiConsumer<RequestContext, Response> responseObserver;
    private final List<Attempt> attempts = new ArrayList<>(1);

    /** The timers that have to be cancelled once the request is closed. */
    private final List<EventLoop.Timer> timers = new ArrayList<>(1);

    private State state = State.OPEN;
    private int openAttempts;
    private long retryUntilUs = Long.MAX_VALUE;
    private long expectedUploadUs;

    /**
     * Creates the context of a request that has just been accepted.
     *
     * @param responseObserver called with the final response before the listener
     */
    RequestContext(
            Request request,
            ResponseListener listener,
            BiConsumer<RequestContext, Response> responseObserver) {
        this.request = request;
        this.listener = listener;
        this.responseObserver = responseObserver;
    }

    /** Returns the request. */
    public Request request() {
        return request;
    }

    /** Whether the final response was given or the client has disconnected. */
    public boolean isClosed() {
        return state != State.OPEN;
    }

    State state() {
        return state;
    }

    /** Returns all attempts in the order in which they were made. */
    List<Attempt> attempts() {
        return attempts;
    }

    /** Runs a task at a time, on the loop's clock, unless the request is closed by then. */
    void schedule(EventLoop loop, long timeUs, Runnable task) {
        if (isClosed()) {
            return;
        }
        EventLoop.Timer[] timer = new EventLoop.Timer[1];
        timer[0] =
                loop.scheduleAt(
                        timeUs,
                        () -> {
                            timers.remove(timer[0]);
                            task.run();
                        });
        timers.add(timer[0]);
    }

    /** Adds an attempt, which counts as open until {@link #attemptEnded}. */
    void add(Attempt attempt) {
        attempts.add(attempt);
        openAttempts++;
    }

    /** Records that one of the open attempts has ended. */
    void attemptEnded() {
        openAttempts--;
    }

    /** Whether the request is closed and has no open attempt, so that its state can be dropped. */
    boolean isFinished() {
        return isClosed() && openAttempts == 0;
    }

    /**
     * Returns the time before which a retry has to start, on the loop's clock: later, workers would
     * not recognize it as a retry. {@link Long#MAX_VALUE} if no earlier attempt limits it.
     */
    long retryUntilUs() {
        return retryUntilUs;
    }

    /** Limits retries to those that start before this time. */
    void limitRetriesUntil(long untilUs) {
        retryUntilUs = Math.min(retryUntilUs, untilUs);
    }

    /** Returns the longest recorded upload time, in microseconds; 0 if none was recorded. */
    long expectedUploadUs() {
        return expectedUploadUs;
    }

    /** Records how long an abandoned upload would have taken, in microseconds. */
    void recordUploadTime(long uploadUs) {
        expectedUploadUs = Math.max(expectedUploadUs, uploadUs);
    }

    /**
     * Whether the client still waits. Reads the pending input of its connection first, so this call
     * may itself report that the client has disconnected.
     */
    boolean isClientWaiting() {
        if (!isClosed()) {
            listener.readPendingInput();
        }
        return !isClosed();
    }

    /** Gives the final response; returns false without any effect if the request is closed. */
    boolean answer(Response response) {
        if (!moveTo(State.ANSWERED)) {
            return false;
        }
        responseObserver.accept(this, response);
        listener.respond(response);
        return true;
    }

    /** Records that the client has disconnected; returns false if the request was closed before. */
    boolean abandon() {
        return moveTo(State.ABANDONED);
    }

    private boolean moveTo(State next) {
        if (!state.canMoveTo(next)) {
            return false;
        }
        state = next;
        timers.forEach(EventLoop.Timer::cancel);
        timers.clear();
        if (request.payload() != null) {
            request.payload().release();
        }
        return true;
    }
}
