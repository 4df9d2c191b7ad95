package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * An open connection; subclasses implement a protocol. Jetty's selector only reports readiness;
 * reading ({@link ConnectionReader}), processing and writing ({@link WriteQueue}) are done on the
 * {@link EventLoop}, so that subclasses need no locks. All methods are called on the loop unless
 * stated otherwise.
 *
 * <p>{@link ConnectionState} defines the states and their transitions.
 */
public abstract class EventLoopConnection extends AbstractConnection {
    /** How long a peer may take to close its side after the last response. */
    private static final long LINGER_US = 500_000;

    /**
     * How long a request may wait unread without a deduction from its time limit. A worker may be
     * given 0.15 s more than the client has left (STANDING); a third of that is reserved for the
     * time from this check to the write. Unless the process was suspended, two rounds of the
     * selector take less than this, and nothing is deducted.
     */
    static final long TOLERATED_WAIT_US = 100_000;

    private final EventLoop loop;
    private final Callback readable =
            Callback.from(
                    Invocable.InvocationType.NON_BLOCKING,
                    this::onFillable,
                    this::onFillInterestedFailed);
    private final ConnectionReader reader;
    private final WriteQueue writes;
    private ConnectionState state = ConnectionState.OPEN;
    private boolean lingered;
    private boolean closedByPeer;
    private boolean closesOnceIdle;

    /** Bytes read plus messages written; shows whether a check has found anything to do. */
    private long progress;

    private long progressAtLastCheck;

    /** Creates a connection that reads ahead one buffer of the initial size at most. */
    protected EventLoopConnection(EndPoint endPoint, EventLoop loop) {
        this(endPoint, loop, ReadBufferPool.BUFFER_BYTES);
    }

    /**
     * Creates a connection that continues to read while its subclass consumes nothing, so that it
     * detects a close by its peer.
     *
     * @param maxReadAheadBytes the number of unconsumed bytes at which reading stops
     */
    protected EventLoopConnection(EndPoint endPoint, EventLoop loop, int maxReadAheadBytes) {
        super(endPoint, loop::execute);
        this.loop = loop;
        this.reader = new ConnectionReader(this, loop, buffers(endPoint), maxReadAheadBytes);
        this.writes = new WriteQueue(endPoint, new WriteListener());
    }

    private static ReadBufferPool buffers(EndPoint endPoint) {
        return endPoint instanceof LoopEndPoint loopEndPoint
                ? loopEndPoint.readBuffers()
                : new ReadBufferPool();
    }

    /** Called once the connection is open. */
    protected abstract void opened();

    /**
     * Called when bytes have been read; those left in the buffer are passed again with the next
     * ones, or on {@link #resumeReading}. The buffer is valid during the call only.
     */
    protected abstract void received(ByteBuffer bytes);

    /** Called when the socket is ready for reading or writing, before any byte is transferred. */
    protected void readyForIo() {}

    /** Called when all available bytes have been read and the connection is still open. */
    protected void readComplete() {}

    /**
     * Called once, after {@link #connectionClosed}, when the peer or the network has closed the
     * connection; not called after {@link #closeNow}.
     */
    protected abstract void connectionLost();

    /** Called when the connection is closed by either side. */
    protected void connectionClosed() {}

    /** Whether a complete request was received whose response is not written yet. */
    protected boolean hasOpenRequest() {
        return false;
    }

    final ConnectionState state() {
        return state;
    }

    /** Whether the connection was closed by either side. */
    public final boolean isClosed() {
        return state == ConnectionState.CLOSED;
    }

    /** Whether the connection is waiting for its peer's close, or was when it closed. */
    public final boolean isLingering() {
        return lingered;
    }

    /** Whether the peer, or the network, has closed the connection. */
    protected final boolean isClosedByPeer() {
        return closedByPeer;
    }

    private boolean changeTo(ConnectionState next) {
        boolean allowed = state.mayBecome(next);
        if (allowed) {
            state = next;
        }
        return allowed;
    }

    /** Closes the connection at once, without {@link #connectionLost}. */
    public final void closeNow() {
        if (changeTo(ConnectionState.CLOSED)) {
            getEndPoint().close();
            connectionClosed();
            releaseBuffers();
        }
    }

    /**
     * Releases what a closed connection holds: timers may refer to it for a while, and as many as
     * are opened and closed in that time would fill the heap.
     */
    private void releaseBuffers() {
        reader.release();
        writes.release();
    }

    /** Closes the connection after an error or a close by its peer. */
    final void closeAsLost() {
        if (changeTo(ConnectionState.CLOSED)) {
            closedByPeer = true;
            getEndPoint().close();
            connectionClosed();
            connectionLost();
            releaseBuffers();
        }
    }

    /**
     * Closes the connection once everything is written. Closing it with unread bytes would reset
     * it, and the peer might lose what was written, so unread bytes are read and discarded first.
     * This is bounded in time and bytes, since a fast peer would otherwise starve other
     * connections.
     */
    protected final void closeAfterWrites() {
        changeTo(ConnectionState.CLOSE_PENDING);
        if (!writes.isWriting()) {
            linger();
        }
    }

    private void linger() {
        if (changeTo(ConnectionState.LINGERING)) {
            lingered = true;
            getEndPoint().shutdownOutput();
            loop.scheduleAfter(LINGER_US, this::closeNow);
            reader.startDiscarding();
        }
    }

    /**
     * Closes the connection to make room for another one: gracefully, or at once if it is closing
     * already. Bytes that arrive during an immediate close would reset the connection, and the peer
     * might lose what was written last.
     */
    final void evict() {
        if (state == ConnectionState.OPEN) {
            closeGracefully();
        } else {
            closeNow();
        }
    }

    /**
     * Closes the connection gracefully between requests; a subclass may have to answer an
     * incomplete request first.
     */
    protected void closeGracefully() {
        closeAfterWrites();
    }

    /**
     * Closes the connection gracefully as soon as every request that has arrived is answered; the
     * subclass reports that by {@link #requestAnswered}. Takes effect in a later task of the loop.
     */
    public final void closeOnceIdle() {
        closesOnceIdle = true;
        loop.execute(this::requestAnswered);
    }

    /** To be called when {@link #hasOpenRequest} may have become false. */
    protected final void requestAnswered() {
        if (closesOnceIdle && state == ConnectionState.OPEN) {
            readAvailable();
            if (state == ConnectionState.OPEN && !hasOpenRequest()) {
                closeGracefully();
            }
        }
    }

    /** Whether an end of the process would lose a response now. */
    final boolean owesResponse() {
        return !isClosed() && (hasOpenRequest() || writes.isWriting());
    }

    /** Writes in order; runs the callback once the last byte has been passed to the kernel. */
    protected final void write(Runnable written, ByteBuffer... bytes) {
        if (!isClosed()) {
            writes.add(written, bytes);
        }
    }

    /** Returns the number of bytes that have not been passed to the kernel yet. */
    protected final long backlogBytes() {
        return writes.backlogBytes();
    }

    /** Whether the write backlog is so large that reading has to pause. */
    final boolean isBackpressured() {
        return writes.isFull();
    }

    /** Reads the available bytes, so that a connection with an unread request is not closed. */
    protected final void readAvailable() {
        if (state.acceptsInput()) {
            reader.read();
        }
    }

    /** Passes the unconsumed bytes to {@link #received} again, and then continues to read. */
    protected final void resumeReading() {
        reader.resume();
    }

    /**
     * Discards what was read and not consumed, and reads ahead as little as possible from now on:
     * the subclass consumes nothing more before it closes the connection.
     */
    protected final void discardReadAhead() {
        reader.discardBuffered();
    }

    final void recordProgress(long amount) {
        progress += amount;
    }

    /**
     * Tries to read and write without a report of the selector, if there was no progress since the
     * last check. A socket that the kernel does not watch, because epoll_ctl(2) failed for lack of
     * memory, is never reported.
     */
    final void checkUnreported() {
        boolean idle = progress == progressAtLastCheck;
        if (idle && !isClosed() && getEndPoint() instanceof LoopEndPoint endPoint) {
            if (writes.isWriting()) {
                readyForIo(); // the subclass may abandon what is being written
            }
            if (writes.isWriting() && !isClosed()) {
                endPoint.resumeWrite();
            }
            if (isFillInterested()) {
                reader.read();
            }
            if (progress != progressAtLastCheck && !isClosed()) {
                endPoint.renewRegistration();
            }
        }
        progressAtLastCheck = progress;
    }

    /** Returns the remote address, for logs. */
    protected final String remoteAddress() {
        return String.valueOf(getEndPoint().getRemoteSocketAddress());
    }

    /** Returns a lower bound on the arrival of the bytes read last, in microseconds. */
    protected final long arrivedAfterUs() {
        return getEndPoint() instanceof LoopEndPoint endPoint
                ? endPoint.arrival().arrivedAfterUs()
                : loop.nowUs();
    }

    /**
     * Returns the time, in microseconds, that is taken as the arrival of the bytes read last: now,
     * unless they may have waited for longer than {@link #TOLERATED_WAIT_US}.
     */
    protected final long arrivalUs() {
        return Math.min(loop.nowUs(), arrivedAfterUs() + TOLERATED_WAIT_US);
    }

    /** Called by Jetty on the selector's thread. */
    @Override
    public final void onOpen() {
        super.onOpen();
        loop.execute(
                () -> {
                    if (!isClosed()) {
                        opened();
                        reader.read();
                    }
                });
    }

    /** Called by Jetty, on the loop, since {@link LoopEndPoint} runs the selected tasks there. */
    @Override
    public final void onFillable() {
        reader.read();
    }

    @Override
    protected final void onFillInterestedFailed(Throwable cause) {
        loop.execute(this::closeAsLost);
    }

    /** Registers read interest; the callback runs without a hand-over to another thread. */
    @Override
    public void fillInterested() {
        getEndPoint().fillInterested(readable);
    }

    private final class WriteListener implements WriteQueue.Listener {
        @Override
        public boolean isClosed() {
            return EventLoopConnection.this.isClosed();
        }

        @Override
        public void messageWritten() {
            recordProgress(1);
        }

        @Override
        public void allWritten() {
            if (state == ConnectionState.CLOSE_PENDING) {
                linger();
            }
        }

        @Override
        public void belowLowWatermark() {
            reader.resume();
        }

        @Override
        public void writeFailed() {
            closeAsLost();
        }
    }
}
