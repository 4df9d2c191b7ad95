package damsonslip.transport;

import java.io.ByteArrayOutputStream;
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
        List<String> lines = new ArrayList<>(2);
        int lineStart = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                unfinished.write(bytes, lineStart, i - lineStart);
                lines.add(takeUnfinished());
                lineStart = i + 1;
            }
        }
        unfinished.write(bytes, lineStart, bytes.length - lineStart);
        return unfinished.size() > maxLineBytes ? null : lines;
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
