package damsonslip.faktory.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes replies in RESP framing. Stateless; each buffer is the caller's own. */
public final class Reply {
    private static final ByteBuffer NULL_BULK = bytes("$-1\r\n").asReadOnlyBuffer();
    private static final ByteBuffer OK = bytes("+OK\r\n").asReadOnlyBuffer();

    private static final byte[] LINE_END = {'\r', '\n'};

    private Reply() {}

    /** The null bulk string: no job, or no value. */
    public static ByteBuffer nullBulk() {
        return NULL_BULK.duplicate();
    }

    /** The simple string OK. */
    public static ByteBuffer ok() {
        return OK.duplicate();
    }

    /** A simple string; the text has to be one line. */
    public static ByteBuffer simple(String text) {
        return bytes("+" + text + "\r\n");
    }

    /** An error reply; line breaks in its message are replaced, since it has to be one line. */
    public static ByteBuffer error(CommandError error) {
        return bytes("-" + error.text().replaceAll("[\\r\\n]+", " ") + "\r\n");
    }

    /** A bulk string, of any text. */
    public static ByteBuffer bulk(String text) {
        byte[] content = text.getBytes(StandardCharsets.UTF_8);
        byte[] header = ("$" + content.length + "\r\n").getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(header.length + content.length + LINE_END.length)
                .put(header)
                .put(content)
                .put(LINE_END)
                .flip();
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
