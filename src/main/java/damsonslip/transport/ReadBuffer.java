package damsonslip.transport;

import java.nio.ByteBuffer;
import org.eclipse.jetty.util.BufferUtil;

/**
 * The read buffer of a connection. Grows up to a maximum size while its content is not consumed,
 * and shrinks to its initial size once it is empty. Not thread-safe.
 */
final class ReadBuffer {
    static final int INITIAL_BYTES = 8 * 1024;

    private int maxBytes;
    private ByteBuffer bytes = BufferUtil.allocate(INITIAL_BYTES);

    /**
     * @param maxBytes the maximum size, and so the number of unconsumed bytes
     */
    ReadBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Returns the buffer in flush mode: its remaining bytes have been read and not consumed yet.
     */
    ByteBuffer bytes() {
        return bytes;
    }

    boolean isEmpty() {
        return BufferUtil.isEmpty(bytes);
    }

    /** Discards all bytes, and shrinks the buffer to its initial size for good. */
    void discard() {
        maxBytes = INITIAL_BYTES;
        BufferUtil.clear(bytes);
        reclaimIfEmpty();
    }

    /** Releases the memory; there is no space in the buffer any more. */
    void release() {
        maxBytes = 0;
        bytes = BufferUtil.EMPTY_BUFFER;
    }

    /**
     * Compacts or enlarges the buffer if it is full; returns whether there is space to read into.
     */
    boolean makeSpace() {
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
     * Resets an empty buffer to its start and its initial size. A buffer that has been consumed up
     * to its end would count as full otherwise.
     */
    void reclaimIfEmpty() {
        if (!isEmpty()) {
            return;
        }
        if (bytes.capacity() > INITIAL_BYTES) {
            bytes = BufferUtil.allocate(INITIAL_BYTES);
        } else {
            BufferUtil.clear(bytes);
        }
    }
}
