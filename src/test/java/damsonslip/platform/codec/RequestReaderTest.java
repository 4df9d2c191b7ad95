package damsonslip.platform.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading of requests as their bytes arrive. */
class RequestReaderTest {
    private static final String REQUEST =
            String.join(
                    "\r\n",
                    "POST /api HTTP/1.1",
                    "Host: a",
                    "X-Correlation-Id: q1",
                    "Content-Length: 4",
                    "",
                    "body");

    private final RequestReader reader = new RequestReader();

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    void readsRequestThatArrivesByteByByte() throws Exception {
        for (int i = 0; i < REQUEST.length() - 1; i++) {
            assertNull(reader.read(bytes(REQUEST.substring(i, i + 1))));
            assertTrue(reader.isMidRequest());
        }
        HttpRequest request = reader.read(bytes("y"));
        assertEquals("/api", request.target());
        assertEquals("q1", request.header("X-Correlation-Id"));
        assertEquals("body", new String(request.body(), StandardCharsets.US_ASCII));
        assertFalse(reader.isMidRequest());
        assertTrue(reader.isPersistent());
    }

    @Test
    void leavesPipelinedRequestUnreadUntilReset() throws Exception {
        ByteBuffer both = bytes(REQUEST + REQUEST.replace("q1", "q2"));
        assertEquals("q1", reader.read(both).header("X-Correlation-Id"));
        assertEquals(REQUEST.length(), both.remaining());
        reader.reset();
        assertEquals("q2", reader.read(both).header("X-Correlation-Id"));
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1, close, false",
        "HTTP/1.1, other, true",
        "HTTP/1.0, keep-alive, true",
        "HTTP/1.0, other, false"
    })
    void keepsConnectionOpenAsTheClientRequests(String version, String option, boolean persistent)
            throws Exception {
        String request =
                REQUEST.replace("HTTP/1.1", version)
                        .replace("Host: a", "Host: a\r\nConnection: " + option);
        assertNotNull(reader.read(bytes(request)));
        assertEquals(persistent, reader.isPersistent());
    }

    /**
     * Limits count what a head takes, which is more than its bytes; the body is counted as it is.
     */
    @Test
    void countsMemoryOfHeadAndBody() throws Exception {
        String head = REQUEST.replace("POST /api", "POST /api?" + "x".repeat(7_000));
        int headBytes = head.length() - "body".length();
        reader.read(bytes(head.substring(0, headBytes - 1)));
        int incompleteHead = reader.incompleteBytes();
        assertTrue(incompleteHead > 2 * headBytes, incompleteHead + " bytes");
        reader.read(bytes("\nbod"));
        assertTrue(reader.incompleteBytes() > incompleteHead);
        HttpRequest request = reader.read(bytes("y"));
        assertEquals(0, reader.incompleteBytes());
        assertTrue(request.memoryBytes() > 7_000, request.memoryBytes() + " bytes");
    }

    @Test
    void reportsExpectationOfContinueOnce() throws Exception {
        String head = "POST /api HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n";
        assertNull(reader.read(bytes(head + "Content-Length: 4\r\n\r\n")));
        assertTrue(reader.takeExpectContinue());
        assertFalse(reader.takeExpectContinue());
    }

    @ParameterizedTest
    @CsvSource({
        "X-Correlation-Id: q1, X-Correlation-Id: q1|X-Correlation-Id: q2, 400",
        "Content-Length: 4, Content-Length: 65537, 413",
        "Content-Length: 4, Content-Length: four, 400",
        "HTTP/1.1, HTTP/9.9, 505"
    })
    void rejectsAmbiguousLargeOrMalformedRequests(String from, String to, int status) {
        ByteBuffer request = bytes(REQUEST.replace(from, to.replace("|", "\r\n")));
        BadRequestException failure =
                assertThrows(BadRequestException.class, () -> reader.read(request));
        assertEquals(status, failure.status(), failure.getMessage());
    }

    @Test
    void recognizesBytesThatCannotBeginARequest() {
        assertTrue(RequestReader.mayBeginRequest(bytes("")));
        assertTrue(RequestReader.mayBeginRequest(bytes("\r\nPO")));
        assertTrue(RequestReader.mayBeginRequest(bytes("GET /healthz")));
        assertFalse(RequestReader.mayBeginRequest(bytes("the rest of a body")));
    }
}
