package damsonslip.membership;

/**
 * The states of a scheduler's connection to discovery and their transitions.
 *
 * <pre>
 *            POLL_SENT   UPDATE_RECEIVED   ENDED
 * WAITING    POLLING     OPEN              WAITING
 * POLLING    POLLING     OPEN              WAITING
 * OPEN       OPEN        OPEN              WAITING
 * </pre>
 */
enum WatchState {
    /** No connection; the next poll is scheduled. */
    WAITING,
    /** A poll was sent and has not been answered. */
    POLLING,
    /** Discovery has answered and pushes changes over the open connection. */
    OPEN;

    /** Events that change the state. */
    enum Event {
        POLL_SENT,
        UPDATE_RECEIVED,
        ENDED
    }

    /** Returns the state that follows this one after the event. */
    WatchState after(Event event) {
        return switch (event) {
            // a poll timer that was set before the watch opened must not send another poll
            case POLL_SENT -> this == OPEN ? OPEN : POLLING;
            case UPDATE_RECEIVED -> OPEN;
            case ENDED -> WAITING;
        };
    }
}
