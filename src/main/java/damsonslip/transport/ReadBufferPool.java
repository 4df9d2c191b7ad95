package damsonslip.transport;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Lends read buffers to the connections of one event loop, so that a connection without unconsumed
 * bytes holds none. The loop reads from one connection at a time, or from a few within each other,
 * so few buffers are in use. Used on the event loop only.
 */
final class ReadBufferPool {
    /** The size of a buffer. */
    static final int BUFFER_BYTES = 8 * 1024;

    /** More than the reads that can be in progress within each other. */
    private static final int MAX_RETAINED = 8;

    private final ArrayDeque<ByteBuffer> retained = new ArrayDeque<>(MAX_RETAINED);

    /** Takes an empty buffer in flush mode. */
    ByteBuffer take() {
        ByteBuffer buffer = retained.poll();
        return buffer == null ? BufferUtil.allocate(BUFFER_BYTES) : buffer;
    }

    /** Returns a buffer to which nobody refers any more. */
    void giveBack(ByteBuffer buffer) {
        if (retained.size() < MAX_RETAINED) {
            BufferUtil.clear(buffer);
            retained.push(buffer);
        }
    }
}
