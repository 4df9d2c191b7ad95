package damsonslip.transport;

/**
 * Accepts connections of one kind up to the limits of a {@link ConnectionLimiter}; further ones
 * stay in the accept queue until others have been closed. The acceptor's own methods are called on
 * any thread, {@link #connectionOpened} and {@link #connectionClosed} by the connections, on the
 * event loop.
 */
public abstract class LimitedAcceptor<L extends EventLoopConnection>
        implements ConnectionManager.ConnectionAcceptor {
    private final ConnectionLimiter<L> limiter;

    /** Creates an acceptor for connections that this limiter counts. */
    protected LimitedAcceptor(ConnectionLimiter<L> limiter) {
        this.limiter = limiter;
    }

    /** Returns the limiter, which holds the open connections. */
    protected final ConnectionLimiter<L> limiter() {
        return limiter;
    }

    @Override
    public final boolean hasCapacity() {
        return limiter.hasCapacity();
    }

    @Override
    public final boolean admit() {
        return limiter.admit();
    }

    @Override
    public final void admissionFailed() {
        limiter.admissionFailed();
    }

    /** Called when a connection of this kind has been set up. */
    public void connectionOpened(L connection) {
        limiter.connectionOpened(connection);
    }

    /** Called when a connection of this kind has been closed. */
    public void connectionClosed(L connection) {
        limiter.connectionClosed(connection);
    }
}
