package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import org.eclipse.jetty.util.BufferUtil;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Growth of a read buffer that is not consumed, reuse of its space, and release of its memory. */
class ReadBufferTest {
    private static final int MAX_BYTES = 3 * ReadBufferPool.BUFFER_BYTES;

    private final ReadBufferPool pool = new ReadBufferPool();
    private final ReadBuffer buffer = new ReadBuffer(pool, MAX_BYTES);

    @BeforeEach
    void beginRead() {
        buffer.beginRead();
    }

    private void fill() {
        assertTrue(buffer.makeSpace());
        ByteBuffer bytes = buffer.bytes();
        BufferUtil.append(bytes, new byte[BufferUtil.space(bytes)]);
    }

    @Test
    void growsUpToMaximumWhileNothingIsConsumed() {
        while (buffer.makeSpace()) {
            fill();
        }
        assertFalse(buffer.makeSpace());
        assertEquals(MAX_BYTES, buffer.bytes().remaining());
    }

    @Test
    void reusesSpaceOfConsumedBytes() {
        fill();
        buffer.bytes().get();
        assertTrue(buffer.makeSpace());
        assertEquals(ReadBufferPool.BUFFER_BYTES, buffer.bytes().capacity());
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
        assertTrue(buffer.makeSpace());
        assertEquals(ReadBufferPool.BUFFER_BYTES, buffer.bytes().capacity());
    }

    private void consume() {
        buffer.bytes().position(buffer.bytes().limit());
    }

    @Test
    void holdsNoMemoryBetweenReads() {
        fill();
        consume();
        buffer.endRead();
        assertEquals(0, buffer.bytes().capacity());
    }

    @Test
    void keepsUnconsumedBytesBetweenReads() {
        fill();
        buffer.endRead();
        assertEquals(ReadBufferPool.BUFFER_BYTES, buffer.bytes().remaining());
    }

    /** A read within a read must not give away the buffer that the outer one still refers to. */
    @Test
    void keepsBufferUntilOuterReadEnds() {
        fill();
        ByteBuffer outer = buffer.bytes();
        consume();
        buffer.beginRead();
        buffer.reclaimIfEmpty();
        buffer.endRead();
        assertNotSame(outer, pool.take());
        buffer.endRead();
        assertSame(outer, pool.take());
    }

    /** The connection may be closed while its bytes are being handled. */
    @Test
    void givesNoBufferAwayThatIsReleasedDuringRead() {
        fill();
        ByteBuffer outer = buffer.bytes();
        buffer.release();
        buffer.endRead();
        assertNotSame(outer, pool.take());
        assertFalse(buffer.makeSpace());
    }
}
