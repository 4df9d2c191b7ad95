package damsonslip.transport;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into lines of UTF-8 text and trims them. The length of an unfinished line is
 * bounded, so that a peer that never sends a line feed cannot exhaust the memory. Not thread-safe.
 */
public final class LineDecoder {
    private final int maxLineBytes;
    private UnfinishedLine unfinished = new UnfinishedLine();

    private static final class UnfinishedLine extends ByteArrayOutputStream {
        int capacity() {
            return buf.length;
        }
    }

    /**
     * Creates a decoder.
     *
     * @param maxLineBytes the maximum length of an unfinished line
     */
    public LineDecoder(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Returns the lines that are completed by these bytes; null if the unfinished line is too long.
     */
    public List<String> decode(byte[] bytes) {
        return decode(ByteBuffer.wrap(bytes), Integer.MAX_VALUE);
    }

    /**
     * Returns the lines that are completed by these bytes, up to a number; null if the unfinished
     * line is too long. Short lines take many times the memory of their bytes.
     *
     * @param bytes those behind the last line that is returned are left unread
     */
    public List<String> decode(ByteBuffer bytes, int maxLines) {
        List<String> lines = new ArrayList<>(2);
        while (bytes.hasRemaining() && lines.size() < maxLines) {
            int length = lengthOfLine(bytes);
            byte[] part = new byte[length];
            bytes.get(part);
            unfinished.write(part, 0, length);
            if (bytes.hasRemaining()) {
                bytes.get(); // the line feed
                lines.add(takeUnfinished());
            }
        }
        return unfinished.size() > maxLineBytes ? null : lines;
    }

    /** Returns the number of bytes before the next line feed, or of all if there is none. */
    private static int lengthOfLine(ByteBuffer bytes) {
        int end = bytes.position();
        while (end < bytes.limit() && bytes.get(end) != '\n') {
            end++;
        }
        return end - bytes.position();
    }

    /** Returns the number of bytes of the unfinished line. */
    public int unfinishedBytes() {
        return unfinished.size();
    }

    /** Returns the memory that the unfinished line takes, in bytes; 0 if there is none. */
    public int memoryBytes() {
        return unfinished.size() == 0 ? 0 : unfinished.capacity();
    }

    /** Returns the unfinished line and removes it from the decoder. */
    public String takeUnfinished() {
        String line = unfinished.toString(StandardCharsets.UTF_8).trim();
        unfinished = new UnfinishedLine();
        return line;
    }
}
