package damsonslip.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * A query, its executions and its one final answer: the only place where the client side and the
 * server side of the program meet.
 */
public final class RequestContext {
    private final Request query;
    private final ResponseListener listener;
    private final BiConsumer<RequestContext, Response> counting;
    final List<Attempt> executions = new ArrayList<>(1);
    int outstanding;

    /** When repeats are last known for such, counted from the first execution that may have run. */
    long repeatsUntilUs = Long.MAX_VALUE;

    /** How long the slowest worker so far would have taken to take the whole request. */
    long slowestUploadUs;

    private boolean closed;

    RequestContext(
            Request query,
            ResponseListener listener,
            BiConsumer<RequestContext, Response> counting) {
        this.query = query;
        this.listener = listener;
        this.counting = counting;
    }

    public Request query() {
        return query;
    }

    /** Whether the final answer is given, or the client has gone. */
    public boolean closed() {
        return closed;
    }

    /**
     * Whether the client still waits, by all that has come from it until now; its departure may be
     * told in the call.
     */
    boolean isAwaited() {
        if (!closed) {
            listener.readPending();
        }
        return !closed;
    }

    /** Gives the final answer; tells false, and does nothing, if there is one already. */
    boolean finish(Response answer) {
        if (closed) {
            return false;
        }
        closed = true;
        counting.accept(this, answer);
        listener.answer(answer);
        return true;
    }

    /** The client has gone: nothing is owed any more. */
    boolean abandon() {
        boolean was = closed;
        closed = true;
        return !was;
    }
}
