package damsonslip.faktory.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** What the server side of the protocol says, in RESP framing. */
public final class Reply {
    private static final ByteBuffer NOTHING = bytes("$-1\r\n").asReadOnlyBuffer();
    private static final ByteBuffer OK = bytes("+OK\r\n").asReadOnlyBuffer();

    private Reply() {}

    public static ByteBuffer nullBulk() {
        return NOTHING.duplicate();
    }

    public static ByteBuffer ok() {
        return OK.duplicate();
    }

    public static ByteBuffer simple(String text) {
        return bytes("+" + text + "\r\n");
    }

    /** An error reply; line breaks in its message are replaced, since it has to be one line. */
    public static ByteBuffer error(CommandError error) {
        return bytes("-" + error.text().replaceAll("[\\r\\n]+", " ") + "\r\n");
    }

    public static ByteBuffer bulk(String text) {
        byte[] content = text.getBytes(StandardCharsets.UTF_8);
        byte[] head = ("$" + content.length + "\r\n").getBytes(StandardCharsets.US_ASCII);
        ByteBuffer whole = ByteBuffer.allocate(head.length + content.length + 2);
        return whole.put(head).put(content).put((byte) '\r').put((byte) '\n').flip();
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
