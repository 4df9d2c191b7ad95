package damsonslip.platform.worker;

import java.util.EnumMap;
import java.util.Map;

/**
 * The states of a connection to a worker, by the request that it carries. A closed connection keeps
 * the state in which it was closed, which decides what the loss of the connection proves about the
 * request.
 */
enum ConnectionState {
    /** Carries no request. */
    IDLE,
    /** A request is being written. */
    SENDING,
    /** The request's last byte was written: from here on the job may run. */
    AWAITING_OUTCOME,
    /** The outcome was reported although the request's last byte is not written yet. */
    SETTLED_WHILE_SENDING,
    /** The outcome was reported; the rest of the response is still to be read. */
    AWAITING_END;

    /** The events that change the state. */
    enum Event {
        REQUEST_STARTED,
        REQUEST_WRITTEN,
        OUTCOME_KNOWN,
        RESPONSE_COMPLETED
    }

    private static final Map<ConnectionState, Map<Event, ConnectionState>> TRANSITIONS =
            new EnumMap<>(
                    Map.of(
                            IDLE,
                            Map.of(Event.REQUEST_STARTED, SENDING),
                            SENDING,
                            Map.of(
                                    Event.REQUEST_WRITTEN, AWAITING_OUTCOME,
                                    Event.OUTCOME_KNOWN, SETTLED_WHILE_SENDING),
                            AWAITING_OUTCOME,
                            Map.of(Event.OUTCOME_KNOWN, AWAITING_END),
                            SETTLED_WHILE_SENDING,
                            Map.of(Event.REQUEST_WRITTEN, AWAITING_END),
                            AWAITING_END,
                            Map.of(Event.RESPONSE_COMPLETED, IDLE)));

    /**
     * The state after an event.
     *
     * @throws IllegalStateException if the event cannot happen in this state
     */
    ConnectionState after(Event event) {
        ConnectionState next = TRANSITIONS.get(this).get(event);
        if (next == null) {
            throw new IllegalStateException(event + " in state " + this);
        }
        return next;
    }

    /** Whether the last byte of the current request was written. */
    boolean isRequestWritten() {
        return this == AWAITING_OUTCOME || this == AWAITING_END;
    }

    /** Whether the outcome of the current request was reported. */
    boolean isSettled() {
        return this == SETTLED_WHILE_SENDING || this == AWAITING_END;
    }
}
