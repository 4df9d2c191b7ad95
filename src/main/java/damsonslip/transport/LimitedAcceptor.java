package damsonslip.transport;

/**
 * Accepts connections of one kind into a {@link ConnectionLimiter}, which bounds their number;
 * those beyond it wait in the listener's queue until the event loop has let others go. {@link
 * #hasRoom}, {@link #admit} and {@link #turnedBack} are called on any thread, {@link #opened} and
 * {@link #closed} by the connections, on the event loop.
 */
public abstract class LimitedAcceptor<L extends EventLoopConnection>
        implements ConnectionManager.ConnectionAcceptor {
    private final ConnectionLimiter<L> room;

    /** Accepts connections into this room. */
    protected LimitedAcceptor(ConnectionLimiter<L> room) {
        this.room = room;
    }

    /** The accepted connections. */
    protected final ConnectionLimiter<L> room() {
        return room;
    }

    @Override
    public final boolean hasRoom() {
        return room.hasRoom();
    }

    @Override
    public final boolean admit() {
        return room.admit();
    }

    @Override
    public final void turnedBack() {
        room.turnedBack();
    }

    /** Called when a connection of this kind has been set up. */
    public void opened(L link) {
        room.opened(link);
    }

    /** Called when a connection of this kind has ended. */
    public void closed(L link) {
        room.closed(link);
    }
}
