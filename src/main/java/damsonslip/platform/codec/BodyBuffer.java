package damsonslip.platform.codec;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects the body of one message. Its memory grows with the bytes that have arrived, never by the
 * length that a peer has only announced, and is at most twice their number. Not thread-safe.
 */
final class BodyBuffer {
    private static final int INITIAL_BYTES = 256;
    private static final byte[] EMPTY = {};

    private final int maxBytes;
    private byte[] bytes = EMPTY;
    private int size;

    /** Creates an empty buffer for at most this many bytes. */
    BodyBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Appends a part of the body.
     *
     * @param expectedSize the size that the complete body is announced to have, or a negative
     *     number
     * @return false without any effect if the body would exceed the maximum
     */
    boolean append(ByteBuffer part, long expectedSize) {
        int needed = size + part.remaining();
        if (needed > maxBytes) {
            return false;
        }
        if (needed > bytes.length) {
            bytes = Arrays.copyOf(bytes, newCapacity(needed, expectedSize));
        }
        part.get(bytes, size, part.remaining());
        size = needed;
        return true;
    }

    private int newCapacity(int needed, long expectedSize) {
        long doubled = Math.max(INITIAL_BYTES, 2L * bytes.length);
        long largest = expectedSize >= needed ? Math.min(expectedSize, maxBytes) : maxBytes;
        return (int) Math.max(needed, Math.min(doubled, largest));
    }

    /** The number of bytes of memory that the buffer holds. */
    int capacity() {
        return bytes.length;
    }

    /** The number of bytes that were appended. */
    int size() {
        return size;
    }

    /** Returns the body, and empties the buffer. */
    byte[] take() {
        byte[] body = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
        clear();
        return body;
    }

    /** Discards what was appended, and releases the memory. */
    void clear() {
        bytes = EMPTY;
        size = 0;
    }
}
