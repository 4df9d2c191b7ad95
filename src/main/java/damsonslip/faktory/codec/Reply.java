package damsonslip.faktory.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes replies in RESP framing. Stateless; the caller owns each returned buffer. */
public final class Reply {
    private static final ByteBuffer NULL_BULK = bytes("$-1\r\n").asReadOnlyBuffer();
    private static final ByteBuffer OK = bytes("+OK\r\n").asReadOnlyBuffer();

    private static final byte[] CRLF = {'\r', '\n'};

    private Reply() {}

    /** The null bulk string: no job, or no value. */
    public static ByteBuffer nullBulk() {
        return NULL_BULK.duplicate();
    }

    /** The simple string OK. */
    public static ByteBuffer ok() {
        return OK.duplicate();
    }

    /** A simple string; the text must be a single line. */
    public static ByteBuffer simple(String text) {
        return bytes("+" + text + "\r\n");
    }

    /** An error reply; line breaks in its message are replaced, since it must be a single line. */
    public static ByteBuffer error(CommandError error) {
        return bytes("-" + error.text().replaceAll("[\\r\\n]+", " ") + "\r\n");
    }

    /** A bulk string, which may contain any text. */
    public static ByteBuffer bulk(String text) {
        byte[] content = text.getBytes(StandardCharsets.UTF_8);
        byte[] header = ("$" + content.length + "\r\n").getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(header.length + content.length + CRLF.length)
                .put(header)
                .put(content)
                .put(CRLF)
                .flip();
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
