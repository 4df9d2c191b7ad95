package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * One open connection, whose subclass speaks a protocol. Jetty's selector only reports that there
 * is something to do; reading ({@link ConnectionReader}), deciding and writing ({@link WriteQueue})
 * all happen on the {@link EventLoop}, so that subclasses need no locks. All methods are called on
 * the loop unless they say otherwise.
 *
 * <p>{@link ConnectionState} has the states and their transitions.
 */
public abstract class EventLoopConnection extends AbstractConnection {
    /** How long a peer may take to close its side after the last answer. */
    private static final long LINGER_US = 500_000;

    /**
     * How long a request may have waited here unread without its being counted as waiting. A worker
     * may be given 0.15 s more than the client has (STANDING); a third of that is kept for the time
     * from this check to the write. Unless the process was suspended, two rounds of the selector
     * take less than this, and no client loses time.
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

    /** Counts bytes read and messages written, to see whether a check has found anything. */
    private long progress;

    private long progressAtLastCheck;

    /** Creates a connection that reads ahead one buffer at most. */
    protected EventLoopConnection(EndPoint endPoint, EventLoop loop) {
        this(endPoint, loop, ReadBuffer.INITIAL_BYTES);
    }

    /**
     * Creates a connection that reads ahead though nobody consumes what it reads, so that it
     * notices when its peer closes.
     *
     * @param maxReadAheadBytes how much of it is buffered; then nothing more is read
     */
    protected EventLoopConnection(EndPoint endPoint, EventLoop loop, int maxReadAheadBytes) {
        super(endPoint, loop::execute);
        this.loop = loop;
        this.reader = new ConnectionReader(this, loop, maxReadAheadBytes);
        this.writes = new WriteQueue(endPoint, new WriteListener());
    }

    /** Called once the connection is up. */
    protected abstract void opened();

    /**
     * Called when bytes have been read; those left in the buffer are offered again with the next
     * ones, or on {@link #resumeReading}.
     */
    protected abstract void received(ByteBuffer bytes);

    /** Called when the system is ready to read or write, before any byte is read or written. */
    protected void readyForIo() {}

    /** Called when all that has come until now was read, and the connection is still open. */
    protected void readComplete() {}

    /**
     * Called once, after {@link #connectionClosed}, when the peer or the network has closed the
     * connection; not called after {@link #closeNow}.
     */
    protected abstract void connectionLost();

    /** Called when the connection is closed, by whichever side. */
    protected void connectionClosed() {}

    final ConnectionState state() {
        return state;
    }

    /** Whether the connection is closed, by whichever side. */
    public final boolean isClosed() {
        return state == ConnectionState.CLOSED;
    }

    /** Whether only the peer's close is awaited, or was when the connection closed. */
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
        }
    }

    /** Closes the connection after an error, or as its peer has closed it. */
    final void closeAsLost() {
        if (changeTo(ConnectionState.CLOSED)) {
            closedByPeer = true;
            getEndPoint().close();
            connectionClosed();
            connectionLost();
        }
    }

    /**
     * Closes the connection once everything is written. Closing with bytes unread would reset the
     * connection, and the peer might never see what was written, so these are read and dropped
     * first. That is bounded in time and bytes, since a fast peer would keep the loop from others.
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
     * Closes the connection to free its capacity: gracefully, or at once if it was closing already.
     * Bytes that come in the moment of an immediate close would reset the connection, and the peer
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
     * Closes the connection gracefully between requests; a subclass may have to answer a request of
     * which only a part has come.
     */
    protected void closeGracefully() {
        closeAfterWrites();
    }

    /** Writes in order; runs the callback once the last byte has been handed to the system. */
    protected final void write(Runnable written, ByteBuffer... bytes) {
        if (!isClosed()) {
            writes.add(written, bytes);
        }
    }

    /** Returns how many bytes the system has not taken yet. */
    protected final long backlogBytes() {
        return writes.backlogBytes();
    }

    /** Whether reading has to pause, since too much waits to be written. */
    final boolean isBackpressured() {
        return writes.isFull();
    }

    /** Reads what has come, so that a connection is not closed over a request not read yet. */
    protected final void readAvailable() {
        if (state.acceptsInput()) {
            reader.read();
        }
    }

    /** Offers the bytes that were not consumed once more, and then reads on. */
    protected final void resumeReading() {
        reader.resume();
    }

    final void recordProgress(long amount) {
        progress += amount;
    }

    /**
     * Reads and writes what the selector has not reported, if nothing has moved since the last
     * check. A socket that the system does not watch, because it had no memory for that
     * (epoll_ctl(2)), is never reported.
     */
    final void checkUnreported() {
        boolean idle = progress == progressAtLastCheck;
        if (idle && !isClosed() && getEndPoint() instanceof LoopEndPoint endPoint) {
            if (writes.isWriting()) {
                readyForIo(); // the subclass may want to abandon what is being written
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

    /** Returns a time, in microseconds, at which what was read last had not come yet. */
    protected final long arrivedAfterUs() {
        return getEndPoint() instanceof LoopEndPoint endPoint
                ? endPoint.arrival().arrivedAfterUs()
                : loop.nowUs();
    }

    /**
     * Returns the time, in microseconds, at which what was read last counts as come: now, unless it
     * may have waited here for longer than is tolerated.
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

    /** Called by Jetty, on the loop, as {@link LoopEndPoint} runs the selected tasks there. */
    @Override
    public final void onFillable() {
        reader.read();
    }

    @Override
    protected final void onFillInterestedFailed(Throwable cause) {
        loop.execute(this::closeAsLost);
    }

    /** Has the selector report the next bytes, without a thread to hand them over. */
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
