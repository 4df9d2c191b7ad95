package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.IOException;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads from one connection, on the event loop, until no more bytes are available, and then
 * registers read interest with the selector. The amount that is read is bounded by the size of the
 * read buffer if its content is not consumed, by the write queue's watermarks, and by a maximum for
 * each turn of the loop, so that a fast peer does not starve other connections.
 */
final class ConnectionReader {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionReader.class);

    /** Bytes that are read from a peer in one turn of the loop at most. */
    private static final int MAX_BYTES_PER_TURN = 64 * 1024;

    /** Bytes that are read and discarded while lingering; the rest stays in the socket's buffer. */
    private static final int MAX_DISCARDED_BYTES = 128 * 1024;

    /** Immediate retries of a read that failed transiently, before a delayed retry. */
    private static final int MAX_IMMEDIATE_RETRIES = 4;

    private static final long RETRY_DELAY_US = 1_000;

    /**
     * Result of a read at the end of the stream; a smaller one is {@link
     * LoopEndPoint#TRANSIENT_FAILURE}.
     */
    private static final int END_OF_STREAM = -1;

    private final EventLoopConnection connection;
    private final EventLoop loop;
    private final ReadBuffer buffer;
    private int discardedBytes;

    /**
     * @param maxBufferedBytes the maximum number of bytes that are read and not consumed
     */
    ConnectionReader(
            EventLoopConnection connection,
            EventLoop loop,
            ReadBufferPool buffers,
            int maxBufferedBytes) {
        this.connection = connection;
        this.loop = loop;
        this.buffer = new ReadBuffer(buffers, maxBufferedBytes);
    }

    /** Reads the available bytes, unless the selector will report them anyway. */
    void readUnlessFillInterested() {
        if (!connection.isClosed() && !connection.isFillInterested()) {
            read();
        }
    }

    /** Passes the unconsumed bytes to the subclass again, and then continues to read. */
    void resume() {
        boolean offered =
                connection.state().acceptsInput()
                        && !connection.isBackpressured()
                        && !buffer.isEmpty();
        if (offered) {
            offerBuffered();
        }
        if (!connection.isClosed() && (offered || !connection.isFillInterested())) {
            read();
        }
    }

    private void offerBuffered() {
        buffer.beginRead();
        try {
            connection.received(buffer.bytes());
            buffer.reclaimIfEmpty();
        } finally {
            buffer.endRead();
        }
    }

    /** Discards the buffered bytes and all that are received from now on. */
    void startDiscarding() {
        discardBuffered();
        if (!connection.isFillInterested()) {
            read();
        }
    }

    /** Discards the buffered bytes, and buffers only the initial size from now on. */
    void discardBuffered() {
        buffer.discard();
    }

    /** Releases the memory of a connection that is closed. */
    void release() {
        buffer.release();
    }

    /** Reads until no more bytes are available, or a bound is reached. */
    void read() {
        buffer.beginRead();
        try {
            readOneTurn();
        } catch (IOException e) {
            connection.closeAsLost();
        } catch (RuntimeException e) {
            // reading has stopped: left open, the connection would never be read again
            LOG.error("event=connection_failed peer={}", connection.remoteAddress(), e);
            connection.closeAsLost();
        } finally {
            buffer.endRead();
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
     * Whether bytes may be read now. A full buffer and the high watermark both stop reading, which
     * bounds the bytes that a peer can send ahead.
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

    /** Discards the bytes read; returns whether more may be read and discarded. */
    private boolean discard(int bytes) {
        buffer.discard();
        discardedBytes += bytes;
        return discardedBytes <= MAX_DISCARDED_BYTES;
    }

    /**
     * Reads once, with immediate retries; returns less than {@link #END_OF_STREAM} if all of them
     * fail.
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
