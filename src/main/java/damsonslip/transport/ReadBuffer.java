package damsonslip.transport;

import java.nio.ByteBuffer;
import org.eclipse.jetty.util.BufferUtil;

/**
 * The buffer that a connection reads into; grows up to a bound while nobody consumes it, and
 * shrinks again once it is empty. Not thread-safe.
 */
final class ReadBuffer {
    static final int INITIAL_BYTES = 8 * 1024;

    private final int maxBytes;
    private ByteBuffer bytes = BufferUtil.allocate(INITIAL_BYTES);

    /**
     * @param maxBytes how much may be buffered without being consumed
     */
    ReadBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the buffer in flush mode: its remaining bytes were read and not yet consumed. */
    ByteBuffer bytes() {
        return bytes;
    }

    boolean isEmpty() {
        return BufferUtil.isEmpty(bytes);
    }

    /** Drops all bytes. */
    void clear() {
        BufferUtil.clear(bytes);
    }

    /** Makes space to read into, up to the bound; returns whether there is any. */
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
     * Makes a buffer that was consumed to its very end usable from its start, or shrinks it; it
     * would count as full otherwise.
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
