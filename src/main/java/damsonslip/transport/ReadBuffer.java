package damsonslip.transport;

import java.nio.ByteBuffer;
import org.eclipse.jetty.util.BufferUtil;

/**
 * The read buffer of a connection. Holds no memory while it is empty and no read is in progress;
 * grows up to a maximum size while its content is not consumed. Not thread-safe.
 */
final class ReadBuffer {
    private static final ByteBuffer NONE = BufferUtil.EMPTY_BUFFER;

    private final ReadBufferPool pool;
    private int maxBytes;
    private ByteBuffer bytes = NONE;

    /** The number of reads in progress; a read may start another one of the same connection. */
    private int readsInProgress;

    /**
     * @param maxBytes the maximum size, and so the number of unconsumed bytes
     */
    ReadBuffer(ReadBufferPool pool, int maxBytes) {
        this.pool = pool;
        this.maxBytes = maxBytes;
    }

    /** Keeps the buffer in place until {@link #endRead}, even if it is empty meanwhile. */
    void beginRead() {
        readsInProgress++;
    }

    /** Releases the memory if the buffer is empty and no other read is in progress. */
    void endRead() {
        readsInProgress--;
        releaseIfUnused();
    }

    /**
     * Returns the buffer in flush mode: its remaining bytes have been read and not consumed yet.
     * The reference is valid up to the end of the read in progress.
     */
    ByteBuffer bytes() {
        return bytes;
    }

    boolean isEmpty() {
        return BufferUtil.isEmpty(bytes);
    }

    /** Discards all bytes; the buffer does not grow beyond its initial size any more. */
    void discard() {
        maxBytes = ReadBufferPool.BUFFER_BYTES;
        BufferUtil.clear(bytes);
        reclaimIfEmpty();
    }

    /** Releases the memory; there is no space in the buffer any more. */
    void release() {
        maxBytes = 0;
        if (readsInProgress > 0) { // the caller may still refer to it
            bytes = NONE;
        } else {
            BufferUtil.clear(bytes);
            releaseIfUnused();
        }
    }

    /**
     * Obtains, compacts or enlarges the buffer if it is full; returns whether there is space to
     * read into. Only during a read.
     */
    boolean makeSpace() {
        if (bytes.capacity() == 0 && maxBytes > 0) {
            bytes = pool.take();
        }
        if (BufferUtil.isFull(bytes)) {
            BufferUtil.compact(bytes);
        }
        if (BufferUtil.isFull(bytes) && bytes.capacity() < maxBytes) {
            ByteBuffer larger = BufferUtil.allocate(Math.min(2 * bytes.capacity(), maxBytes));
            BufferUtil.append(larger, bytes);
            bytes = larger;
        }
        return !BufferUtil.isFull(bytes);
    }

    /**
     * Resets an empty buffer to its start, since one that has been consumed up to its end would
     * count as full otherwise; releases an empty one that has grown.
     */
    void reclaimIfEmpty() {
        if (isEmpty()) {
            BufferUtil.clear(bytes);
            bytes = isGrown() ? NONE : bytes;
            releaseIfUnused();
        }
    }

    private void releaseIfUnused() {
        if (readsInProgress > 0 || !isEmpty() || bytes.capacity() == 0) {
            return;
        }
        if (!isGrown()) {
            pool.giveBack(bytes);
        }
        bytes = NONE;
    }

    private boolean isGrown() {
        return bytes.capacity() > ReadBufferPool.BUFFER_BYTES;
    }
}
