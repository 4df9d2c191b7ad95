package damsonslip.transport;

/**
 * Accepts connections of one kind up to the limit of a {@link ConnectionLimiter}; those beyond it
 * wait in the listener's queue until others have been closed. The acceptor's own methods are called
 * on any thread, {@link #opened} and {@link #closed} by the connections, on the event loop.
 */
public abstract class LimitedAcceptor<L extends EventLoopConnection>
        implements ConnectionManager.ConnectionAcceptor {
    private final ConnectionLimiter<L> limiter;

    /** Creates an acceptor for connections that this limiter counts. */
    protected LimitedAcceptor(ConnectionLimiter<L> limiter) {
        this.limiter = limiter;
    }

    /** Returns the limiter, which knows the open connections. */
    protected final ConnectionLimiter<L> room() {
        return limiter;
    }

    @Override
    public final boolean hasRoom() {
        return limiter.hasRoom();
    }

    @Override
    public final boolean admit() {
        return limiter.admit();
    }

    @Override
    public final void turnedBack() {
        limiter.turnedBack();
    }

    /** Called when a connection of this kind has been set up. */
    public void opened(L connection) {
        limiter.opened(connection);
    }

    /** Called when a connection of this kind has been closed. */
    public void closed(L connection) {
        limiter.closed(connection);
    }
}
