package damsonslip.transport;

/**
 * The states of an {@link EventLoopConnection} and their transitions.
 *
 * <pre>
 *                 CLOSE_PENDING   LINGERING   CLOSED
 * OPEN            yes             no          yes
 * CLOSE_PENDING   no              yes         yes
 * LINGERING       no              no          yes
 * CLOSED          no              no          no
 * </pre>
 */
enum ConnectionState {
    /** Reads and writes. */
    OPEN,
    /** Closes once everything is written; still reads. */
    CLOSE_PENDING,
    /** Has shut down its output and discards what it reads until the peer closes its side. */
    LINGERING,
    /** Closed, by either side or by the network. */
    CLOSED;

    /** Whether the table above allows this transition. */
    boolean mayBecome(ConnectionState next) {
        return switch (next) {
            case OPEN -> false;
            case CLOSE_PENDING -> this == OPEN;
            case LINGERING -> this == CLOSE_PENDING;
            case CLOSED -> this != CLOSED;
        };
    }

    /** Whether bytes that are read are passed to the connection's subclass. */
    boolean acceptsInput() {
        return this == OPEN || this == CLOSE_PENDING;
    }
}
