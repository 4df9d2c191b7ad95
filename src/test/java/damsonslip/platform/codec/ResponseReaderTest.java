package damsonslip.platform.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Reading of responses as their bytes arrive. */
class ResponseReaderTest {
    private final List<String> events = new ArrayList<>();
    private final ResponseReader reader =
            new ResponseReader(
                    new ResponseReader.Listener() {
                        @Override
                        public void responseStarted(ResponseHead head) {
                            events.add("status " + head.status());
                        }

                        @Override
                        public void contentReceived(byte[] part) {
                            events.add(new String(part, StandardCharsets.US_ASCII));
                        }

                        @Override
                        public void responseCompleted(boolean reusable) {
                            events.add(reusable ? "reusable" : "last");
                        }

                        @Override
                        public void responseMalformed(String reason) {
                            events.add("malformed");
                        }
                    });

    private List<String> read(String text) {
        events.clear();
        reader.read(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
        return List.copyOf(events);
    }

    @Test
    void reportsChunksAsTheyArrive() {
        assertEquals(
                List.of("status 200", "one"),
                read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n"));
        assertEquals(List.of("two", "reusable"), read("3\r\ntwo\r\n0\r\n\r\n"));
    }

    @Test
    void skipsInterimResponses() {
        assertEquals(List.of(), read("HTTP/1.1 100 Continue\r\n\r\n"));
        String interim = "HTTP/1.1 103 Early\r\n\r\n";
        String rejection = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";
        assertEquals(List.of("status 503", "reusable"), read(interim + rejection));
    }

    @Test
    void doesNotReuseConnectionAfterCloseOrUnrequestedBytes() {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        assertEquals(
                List.of("status 200", "last"),
                read(response.replace("OK\r\n", "OK\r\nConnection: close\r\n")));
        assertEquals(List.of("status 200", "last"), read(response + response));
    }

    @Test
    void reportsMalformedBytesOnce() {
        assertEquals(List.of("malformed"), read("nonsense\r\n\r\n"));
        assertEquals(List.of(), read("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    }
}
