package damsonslip.transport;

import java.util.List;

/**
 * Accepts connections of one kind up to the limits of a {@link ConnectionLimiter}; further ones
 * stay in the accept queue until others have been closed. The acceptor's own methods are called on
 * any thread, {@link #connectionOpened} and {@link #connectionClosed} by the connections, on the
 * event loop.
 */
public abstract class LimitedAcceptor<L extends EventLoopConnection>
        implements ConnectionManager.ConnectionAcceptor {
    private final ConnectionLimiter<L> limiter;
    private boolean closesConnections;

    /** Creates an acceptor for connections that this limiter counts. */
    protected LimitedAcceptor(ConnectionLimiter<L> limiter) {
        this.limiter = limiter;
    }

    /** Returns the limiter, which holds the open connections. */
    protected final ConnectionLimiter<L> limiter() {
        return limiter;
    }

    /**
     * Closes every connection once its requests are answered, also those that open later. Called on
     * the loop, when the process is about to end.
     */
    public final void closeConnections() {
        closesConnections = true;
        List.copyOf(limiter.connections()).forEach(EventLoopConnection::closeOnceIdle);
    }

    /** Whether a request of any connection is unanswered, or its response is being written. */
    public final boolean owesResponses() {
        return limiter.connections().stream().anyMatch(EventLoopConnection::owesResponse);
    }

    @Override
    public boolean hasCapacity() {
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
        if (closesConnections) {
            connection.closeOnceIdle();
        }
    }

    /** Called when a connection of this kind has been closed. */
    public void connectionClosed(L connection) {
        limiter.connectionClosed(connection);
    }
}
