package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Lines of a byte stream that arrives in parts. */
class LineDecoderTest {
    private static final int MAX_LINE_BYTES = 8;

    private final LineDecoder decoder = new LineDecoder(MAX_LINE_BYTES);

    private List<String> decode(String part) {
        return decoder.decode(part.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void joinsLineThatArrivesInParts() {
        assertEquals(List.of(), decode("on"));
        assertEquals(2, decoder.unfinishedBytes());
        assertEquals(List.of("one", "two"), decode("e\r\ntwo\nth"));
        assertEquals("th", decoder.takeUnfinished());
        assertEquals(0, decoder.unfinishedBytes());
    }

    @Test
    void countsMemoryOfUnfinishedLineOnly() {
        assertEquals(0, decoder.memoryBytes());
        decode("one\ntw");
        assertTrue(decoder.memoryBytes() >= decoder.unfinishedBytes());
        decode("o\n");
        assertEquals(0, decoder.memoryBytes());
    }

    /** A text takes some 50 bytes, however short its line is. */
    @Test
    void leavesFurtherLinesUnread() {
        ByteBuffer bytes = ByteBuffer.wrap("a\nb\nc\nd".getBytes(StandardCharsets.UTF_8));
        assertEquals(List.of("a", "b"), decoder.decode(bytes, 2));
        assertEquals(3, bytes.remaining());
        assertEquals(0, decoder.memoryBytes());
        assertEquals(List.of("c"), decoder.decode(bytes, 2));
        assertEquals("d", decoder.takeUnfinished());
    }

    @Test
    void rejectsUnfinishedLineAboveBound() {
        assertEquals(List.of(), decode("12345678"));
        assertNull(decode("9"));
    }
}
