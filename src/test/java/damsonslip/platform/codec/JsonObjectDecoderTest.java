package damsonslip.platform.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Splitting of a stream of JSON objects as its bytes arrive. */
class JsonObjectDecoderTest {
    private final JsonObjectDecoder decoder = new JsonObjectDecoder(64);

    private List<String> decode(String text) {
        return decoder.decode(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void splitsObjectsByTheirBracesAndNotByLines() {
        assertEquals(List.of("{\"a\":\"}\\\"\"}", "{\n}"), decode("{\"a\":\"}\\\"\"}\n{\n}\n{"));
        assertTrue(decoder.isMidObject());
        assertEquals(List.of("{\"b\":[1]}"), decode("\"b\":[1]}\n\n"));
        assertFalse(decoder.isMidObject());
    }

    @Test
    void rejectsOtherTextEmptyLinesWithinObjectsAndLargeObjects() {
        assertNull(decode("x"));
        assertNull(new JsonObjectDecoder(64).decode("{\n\r\n".getBytes(StandardCharsets.UTF_8)));
        assertNull(decoder.decode(("{\"" + "a".repeat(64)).getBytes(StandardCharsets.UTF_8)));
    }
}
