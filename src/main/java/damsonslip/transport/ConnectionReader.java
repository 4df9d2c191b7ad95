package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.IOException;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads from one connection, on the event loop, until nothing more is there, and has the selector
 * report when more is. How much is read is bounded: by the read buffer where nobody consumes it, by
 * the write queue's watermarks, and in one turn of the loop, so that a fast peer does not keep it
 * from others.
 */
final class ConnectionReader {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionReader.class);

    /** Bytes that are read from a peer in one turn of the loop. */
    private static final int MAX_BYTES_PER_TURN = 64 * 1024;

    /** Bytes that are read and dropped from a lingering peer; the rest stays with the system. */
    private static final int MAX_DISCARDED_BYTES = 128 * 1024;

    /** Repetitions of a read that the system could not make, before it is left to a later turn. */
    private static final int MAX_IMMEDIATE_RETRIES = 4;

    private static final long RETRY_DELAY_US = 1_000;

    /**
     * What a read returns at the end of the stream; less is {@link LoopEndPoint#TRANSIENT_FAILURE}.
     */
    private static final int END_OF_STREAM = -1;

    private final EventLoopConnection connection;
    private final EventLoop loop;
    private final ReadBuffer buffer;
    private int discardedBytes;

    /**
     * @param maxBufferedBytes how much is read ahead without being consumed
     */
    ConnectionReader(EventLoopConnection connection, EventLoop loop, int maxBufferedBytes) {
        this.connection = connection;
        this.loop = loop;
        this.buffer = new ReadBuffer(maxBufferedBytes);
    }

    /** Reads what is there, unless the selector is to report it anyway. */
    void readUnlessFillInterested() {
        if (!connection.isClosed() && !connection.isFillInterested()) {
            read();
        }
    }

    /** Offers the bytes that were not consumed once more, and then reads on. */
    void resume() {
        boolean offered =
                connection.state().acceptsInput()
                        && !connection.isBackpressured()
                        && !buffer.isEmpty();
        if (offered) {
            connection.received(buffer.bytes());
            buffer.reclaimIfEmpty();
        }
        if (!connection.isClosed() && (offered || !connection.isFillInterested())) {
            read();
        }
    }

    /** Drops what is buffered, and reads and drops what still comes. */
    void startDiscarding() {
        buffer.clear();
        if (!connection.isFillInterested()) {
            read();
        }
    }

    /** Reads until nothing more is there, or a bound is reached. */
    void read() {
        try {
            readOneTurn();
        } catch (IOException e) {
            connection.closeAsLost();
        } catch (RuntimeException e) {
            // a connection that nobody reads from any more must not stay open
            LOG.error("event=connection_failed peer={}", connection.remoteAddress(), e);
            connection.closeAsLost();
        }
    }

    private void readOneTurn() throws IOException {
        int remainingBytes = MAX_BYTES_PER_TURN;
        while (remainingBytes > 0) {
            if (!isReadable()) {
                return;
            }
            int bytes = fill();
            if (bytes <= 0) {
                handleNoBytes(bytes);
                return;
            }
            if (isLingering()) {
                if (!discard(bytes)) {
                    return;
                }
            } else {
                connection.received(buffer.bytes());
                buffer.reclaimIfEmpty();
                remainingBytes -= bytes;
            }
        }
        loop.execute(this::readUnlessFillInterested);
    }

    /**
     * A full buffer that nobody consumes is not read into: what a peer sends ahead is bounded by
     * it, and by the watermarks.
     */
    private boolean isReadable() {
        return !connection.isClosed() && !connection.isBackpressured() && buffer.makeSpace();
    }

    private boolean isLingering() {
        return connection.state() == ConnectionState.LINGERING;
    }

    private void handleNoBytes(int result) {
        if (result == END_OF_STREAM) {
            connection.closeAsLost();
        } else if (result < END_OF_STREAM) {
            loop.scheduleAfter(RETRY_DELAY_US, this::readUnlessFillInterested);
        } else if (!isLingering() || discard(0)) {
            awaitMore();
        }
    }

    /** Drops what was read; returns whether more may be read and dropped. */
    private boolean discard(int bytes) {
        buffer.clear();
        discardedBytes += bytes;
        return discardedBytes <= MAX_DISCARDED_BYTES;
    }

    /**
     * Reads once; returns less than {@link #END_OF_STREAM} if the system keeps failing the read.
     */
    private int fill() throws IOException {
        long beforeUs = loop.nowUs();
        EndPoint endPoint = connection.getEndPoint();
        int bytes = endPoint.fill(buffer.bytes());
        for (int retry = 0; bytes < END_OF_STREAM && retry < MAX_IMMEDIATE_RETRIES; retry++) {
            bytes = endPoint.fill(buffer.bytes());
        }
        connection.recordProgress(Math.max(0, bytes));
        if (bytes == 0 && endPoint instanceof LoopEndPoint loopEndPoint) {
            loopEndPoint.arrival().recordEmpty(beforeUs);
        }
        return bytes;
    }

    private void awaitMore() {
        if (!connection.isFillInterested()) {
            connection.fillInterested();
        }
        if (!isLingering()) {
            connection.readComplete();
        }
    }
}
