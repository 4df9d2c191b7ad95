package damsonslip.platform.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.junit.jupiter.api.Test;

/** Memory and content of a body that arrives in parts. */
class BodyBufferTest {
    private static final int MAX_BYTES = 64 * 1024;
    private static final int PART_BYTES = 1_000;
    private static final long UNKNOWN_SIZE = -1;

    private final BodyBuffer body = new BodyBuffer(MAX_BYTES);

    /**
     * An announced length alone must cost no memory, or bad clients would fill the heap with it.
     */
    @Test
    void holdsAtMostTwiceWhatHasArrived() {
        for (int bytes = PART_BYTES; bytes <= MAX_BYTES; bytes += PART_BYTES) {
            assertTrue(body.append(ByteBuffer.allocate(PART_BYTES), MAX_BYTES));
            assertTrue(body.capacity() <= Math.min(2 * bytes, MAX_BYTES), body.capacity() + " B");
        }
    }

    @Test
    void rejectsBodyBeyondMaximum() {
        assertTrue(body.append(ByteBuffer.allocate(MAX_BYTES), UNKNOWN_SIZE));
        assertFalse(body.append(ByteBuffer.allocate(1), UNKNOWN_SIZE));
        assertEquals(MAX_BYTES, body.size());
    }

    @Test
    void releasesMemoryWithItsContent() {
        body.append(ByteBuffer.wrap(new byte[] {1, 2}), UNKNOWN_SIZE);
        body.append(ByteBuffer.wrap(new byte[] {3}), UNKNOWN_SIZE);
        assertArrayEquals(new byte[] {1, 2, 3}, body.take());
        assertEquals(0, body.capacity());
        assertEquals(0, body.take().length);
    }
}
