package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.eclipse.jetty.util.BufferUtil;
import org.junit.jupiter.api.Test;

/** Growth of a read buffer that is not consumed, and reuse of its space. */
class ReadBufferTest {
    private static final int MAX_BYTES = 3 * ReadBuffer.INITIAL_BYTES;

    private final ReadBuffer buffer = new ReadBuffer(MAX_BYTES);

    private void fill() {
        ByteBuffer bytes = buffer.bytes();
        BufferUtil.append(bytes, new byte[BufferUtil.space(bytes)]);
    }

    @Test
    void growsUpToMaximumWhileNothingIsConsumed() {
        while (buffer.makeSpace()) {
            fill();
        }
        assertEquals(MAX_BYTES, buffer.bytes().remaining());
    }

    @Test
    void reusesSpaceOfConsumedBytes() {
        fill();
        buffer.bytes().get();
        assertTrue(buffer.makeSpace());
        assertEquals(ReadBuffer.INITIAL_BYTES, buffer.bytes().capacity());
    }

    @Test
    void shrinksOnceConsumed() {
        while (buffer.makeSpace()) {
            fill();
        }
        buffer.reclaimIfEmpty();
        assertFalse(buffer.isEmpty(), "unconsumed bytes must stay");
        buffer.bytes().position(buffer.bytes().limit());
        buffer.reclaimIfEmpty();
        assertTrue(buffer.isEmpty());
        assertEquals(ReadBuffer.INITIAL_BYTES, buffer.bytes().capacity());
    }
}
