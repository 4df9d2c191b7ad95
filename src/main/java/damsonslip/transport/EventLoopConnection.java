package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One open connection. Jetty's selector only tells that there is something to do; reading, deciding
 * and writing all happen on the {@link EventLoop}, so that subclasses need no locks.
 */
public abstract class EventLoopConnection extends AbstractConnection {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoopConnection.class);
    private static final int IN_BUFFER = 8 * 1024;

    /** How long a peer may take to close its side after the last answer. */
    private static final long LINGER_US = 500_000;

    /**
     * So much of what still comes after the last answer is read and dropped; the rest stays with
     * the system.
     */
    private static final int MOST_DROPPED = 128 * 1024;

    /**
     * While more than this waits to be written to a peer, nothing is read from it: what it asks for
     * further would wait as well. As large as the largest usual answer, so that one alone stops
     * nobody; reading goes on once a quarter is left.
     */
    private static final int HIGH = 256 * 1024;

    private static final int LOW = HIGH / 4;

    /**
     * So much is read from a peer at one go, however fast it sends; then others have their turn.
     */
    private static final int MOST_AT_ONCE = 64 * 1024;

    /**
     * What a request may have waited here unseen without its being counted. A worker may be told
     * 0.15 s more than the client has (STANDING); a third of that is kept for the time from the
     * look to the write. Where nothing holds the process up, two rounds of the selector stay below
     * this, and nothing is taken from anybody.
     */
    static final long TOLERATED_WAIT_US = 100_000;

    /** What a read gives at the end of the stream; less is {@link LoopEndPoint#NOT_NOW}. */
    private static final int END = -1;

    /**
     * A read that the system could not make is made again; so many in a row leave the rest to a
     * later turn.
     */
    private static final int MOST_TRIES = 4;

    private static final long TRY_AGAIN_US = 1_000;

    private static final ByteBuffer[] NOTHING = {};

    private record Out(ByteBuffer[] bytes, Runnable written) {}

    private final EventLoop loop;
    private final int mostAhead;
    private ByteBuffer in = BufferUtil.allocate(IN_BUFFER);
    private final ArrayDeque<Out> out = new ArrayDeque<>();
    private boolean writing;

    /** What waits has passed the high mark, and not yet fallen below the low one. */
    private boolean full;

    /** What is being written; its buffers show what the system has not taken yet. */
    private ByteBuffer[] current = NOTHING;

    private boolean closed;
    private boolean endedByPeer;
    private boolean closeWhenWritten;
    private boolean lingering;
    private int dropped;

    /**
     * Bytes read and written until now, or what stands for them; a look that changes it has found
     * something.
     */
    private long progress;

    private long progressAtLastLook;

    protected EventLoopConnection(EndPoint endPoint, EventLoop loop) {
        this(endPoint, loop, IN_BUFFER);
    }

    /**
     * A link that goes on reading though nobody takes what it reads, so that it learns of its
     * peer's departure.
     *
     * @param mostAhead so much is kept of it; then nothing more is read
     */
    protected EventLoopConnection(EndPoint endPoint, EventLoop loop, int mostAhead) {
        super(endPoint, loop::execute);
        this.loop = loop;
        this.mostAhead = mostAhead;
    }

    /** The connection is up. */
    protected abstract void opened();

    /**
     * Bytes have come in; what is left in the buffer is shown again with the next ones, or on
     * {@link #again}.
     */
    protected abstract void received(ByteBuffer bytes);

    /** The system is ready to give or take bytes; told before any are read or written. */
    protected void selected() {}

    /**
     * All that has come until now was read, and the connection stands; told whenever nothing more
     * is there to read.
     */
    protected void readComplete() {}

    /**
     * The other side, or the network, has ended the connection; told once, and not after {@link
     * #end}.
     */
    protected abstract void lost();

    public final boolean isClosed() {
        return closed;
    }

    /** Takes in what has come and was not read yet, so that a link is not ended over it. */
    protected final void look() {
        if (!closed && !lingering) {
            read();
        }
    }

    /**
     * Reads and writes what the selector has not told of, if nothing has moved since the last look.
     * Guards against a socket that the system does not watch, because it had no memory for that
     * (epoll_ctl(2)): such a socket says nothing.
     */
    final void lookBehindSelector() {
        boolean quiet = progress == progressAtLastLook;
        if (quiet && !closed && getEndPoint() instanceof LoopEndPoint endPoint) {
            if (writing) {
                selected(); // what is written may be wanted no more
            }
            if (writing && !closed) {
                endPoint.tryWriting();
            }
            if (isFillInterested()) {
                read();
            }
            if (progress != progressAtLastLook && !closed) {
                endPoint.watchAnew();
            }
        }
        progressAtLastLook = progress;
    }

    /** Whether only the peer's goodbye is awaited. */
    public final boolean isLingering() {
        return lingering;
    }

    /** Closes the connection; nothing is told of it afterwards. */
    public final void end() {
        if (!closed) {
            closed = true;
            getEndPoint().close();
            released();
        }
    }

    /**
     * Closes the connection once everything is written. Guards the last answer: closing with bytes
     * unread would reset the connection, and the peer might never see what was written, so these
     * are read and dropped first. That is bounded, since a peer that sends 60 MB at full speed
     * would keep the loop from everybody else.
     */
    protected final void endWhenWritten() {
        closeWhenWritten = true;
        if (!writing) {
            linger();
        }
    }

    /**
     * Ends the connection in good order, or at once if it was to end already. Guards what was
     * written last: bytes that come in the moment of a close would have the system reset the
     * connection, and take that along.
     */
    final void makeWay() {
        if (closeWhenWritten) { // it has been asked before
            end();
        } else {
            endUnserved();
        }
    }

    /**
     * Ends it in good order between requests; who has sent a part of one may be owed a word about
     * it.
     */
    protected void endUnserved() {
        endWhenWritten();
    }

    private void linger() {
        if (!closed && !lingering) {
            lingering = true;
            getEndPoint().shutdownOutput();
            loop.in(LINGER_US, this::end);
            BufferUtil.clear(in);
            if (!isFillInterested()) {
                read();
            }
        }
    }

    /** The connection is closed, whoever did it. */
    protected void released() {}

    /** Writes in order; tells once the last byte has been handed to the system. */
    protected final void write(Runnable written, ByteBuffer... bytes) {
        if (closed) {
            return;
        }
        out.add(new Out(bytes, written));
        writeNext();
        full = full || backlog() > HIGH;
    }

    /** Where it comes from, or leads to. */
    protected final String peer() {
        return String.valueOf(getEndPoint().getRemoteSocketAddress());
    }

    /** When what was read last had come at the earliest: until then there was nothing to read. */
    protected final long arrivedAfterUs() {
        return getEndPoint() instanceof LoopEndPoint endPoint
                ? endPoint.arrival().arrivedAfterUs()
                : loop.now();
    }

    /**
     * When what was read last counts as come: now, unless it may have waited here for longer than
     * is tolerated.
     */
    protected final long arrivalUs() {
        return Math.min(loop.now(), arrivedAfterUs() + TOLERATED_WAIT_US);
    }

    /** Bytes that the system has not taken yet. */
    protected final long backlog() {
        return (writing ? BufferUtil.remaining(current) : 0)
                + out.stream().mapToLong(next -> BufferUtil.remaining(next.bytes())).sum();
    }

    private void writeNext() {
        if (writing || closed) {
            return;
        }
        Out next = out.poll();
        if (next == null) {
            if (closeWhenWritten) {
                linger();
            }
            return;
        }
        writing = true;
        current = next.bytes();
        getEndPoint().write(new Written(next.written()), next.bytes());
    }

    /**
     * Told on the loop, since {@link ConnectionManager} has all writing done there: whatever event
     * comes next finds it known already whether the last byte has left.
     */
    private final class Written implements Callback {
        private final Runnable then;

        Written(Runnable then) {
            this.then = then;
        }

        @Override
        public void succeeded() {
            progress++;
            writing = false;
            current = NOTHING; // a link that is kept would keep its last message's room as well
            if (!closed) {
                boolean resumed = full && backlog() <= LOW;
                full = full && !resumed;
                then.run();
                writeNext();
                if (resumed) {
                    again();
                }
            }
        }

        @Override
        public void failed(Throwable x) {
            broken();
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }
    }

    @Override
    public final void onOpen() {
        super.onOpen();
        loop.execute(
                () -> {
                    if (!closed) {
                        opened();
                        read();
                    }
                });
    }

    /** Told on the loop, like the end of a write. */
    @Override
    public final void onFillable() {
        read();
    }

    @Override
    protected final void onFillInterestedFailed(Throwable cause) {
        loop.execute(this::broken);
    }

    @Override
    public Invocable.InvocationType getInvocationType() {
        return Invocable.InvocationType.NON_BLOCKING;
    }

    /** Shows the bytes that were left over once more, and then what has come behind them. */
    protected final void again() {
        boolean shown = !closed && !lingering && !full && BufferUtil.hasContent(in);
        if (shown) {
            received(in);
            taken();
        }
        if (!closed && (shown || !isFillInterested())) {
            read();
        }
    }

    private void read() {
        int most = MOST_AT_ONCE;
        try {
            while (!closed && !full && room()) {
                int got = fill();
                if (got == END) {
                    broken();
                    return;
                }
                if (got < END) {
                    loop.in(TRY_AGAIN_US, this::readOn);
                    return;
                }
                if (lingering) {
                    BufferUtil.clear(in);
                    dropped += got;
                    if (dropped > MOST_DROPPED) {
                        return;
                    }
                    if (got > 0) {
                        continue;
                    }
                }
                if (got == 0) {
                    awaitMore();
                    return;
                }
                if (!lingering) {
                    received(in);
                }
                taken();
                most -= got;
                if (most <= 0) {
                    loop.execute(this::readOn);
                    return;
                }
            }
            // a full buffer that nobody takes from stays unread: what a peer sends ahead is bounded
            // by it, and by the marks
        } catch (IOException e) {
            broken();
        } catch (
                RuntimeException
                        e) { // guards against a link that nobody reads from any more, yet stays
            // open
            LOG.error("a connection is given up", e);
            broken();
        }
    }

    /** Reads once; below {@link #END} if the system could not, again and again. */
    private int fill() throws IOException {
        long beforeUs = loop.now();
        int got = getEndPoint().fill(in);
        for (int i = 0; got < END && i < MOST_TRIES; i++) {
            got = getEndPoint().fill(in);
        }
        progress += Math.max(0, got);
        if (got == 0 && getEndPoint() instanceof LoopEndPoint endPoint) {
            endPoint.arrival().seenEmpty(beforeUs);
        }
        return got;
    }

    private void awaitMore() {
        if (!isFillInterested()) {
            fillInterested();
        }
        if (!lingering) {
            readComplete();
        }
    }

    private void readOn() {
        if (!closed && !isFillInterested()) {
            read();
        }
    }

    /** Whether there is room to read into; makes some, up to what may be kept. */
    private boolean room() {
        if (BufferUtil.isFull(in)) {
            BufferUtil.compact(in);
        }
        if (BufferUtil.isFull(in) && in.capacity() < mostAhead) {
            ByteBuffer larger = BufferUtil.allocate(Math.min(2 * in.capacity(), mostAhead));
            BufferUtil.append(larger, in);
            in = larger;
        }
        return !BufferUtil.isFull(in);
    }

    /**
     * Makes a buffer that was read to its very end usable from its start; else it would count as
     * full.
     */
    private void taken() {
        if (BufferUtil.isEmpty(in)) {
            if (in.capacity() > IN_BUFFER) {
                in = BufferUtil.allocate(IN_BUFFER);
            } else {
                BufferUtil.clear(in);
            }
        }
    }

    /** Whether the other side, or the network, has ended it. */
    protected final boolean isEndedByPeer() {
        return endedByPeer;
    }

    private void broken() {
        if (!closed) {
            closed = true;
            endedByPeer = true;
            getEndPoint().close();
            released();
            lost();
        }
    }
}
