package damsonslip.membership;

/**
 * The states of a scheduler's connection to discovery, with the one table of their transitions.
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

    /** What changes the state. */
    enum Event {
        POLL_SENT,
        UPDATE_RECEIVED,
        ENDED
    }

    /** Returns the state that follows this one after the event. */
    WatchState after(Event event) {
        return switch (event) {
            // a timer that was set before the watch opened sends no second poll
            case POLL_SENT -> this == OPEN ? OPEN : POLLING;
            case UPDATE_RECEIVED -> OPEN;
            case ENDED -> WAITING;
        };
    }
}
