package damsonslip.platform.codec;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of bytes into its JSON objects by their braces, however many lines each of them
 * takes. The objects themselves are not checked. An incomplete object is bounded in size, so that a
 * sender that never ends one cannot fill the memory.
 */
public final class JsonObjectDecoder {
    private final int maxObjectBytes;
    private ByteArrayOutputStream incomplete = new ByteArrayOutputStream();
    private int depth;
    private boolean inString;
    private boolean escaped;

    /** Whether the current line is empty so far. */
    private boolean blankLine;

    /** Creates a decoder with the size above which an incomplete object is an error. */
    public JsonObjectDecoder(int maxObjectBytes) {
        this.maxObjectBytes = maxObjectBytes;
    }

    /**
     * Reads the next bytes of the stream.
     *
     * @return the objects that end in this part; null if there is something else between objects,
     *     an object is too large, or an empty line within one shows that the sender considers it
     *     complete
     */
    public List<String> decode(byte[] part) {
        List<String> objects = new ArrayList<>(1);
        int start = 0;
        for (int i = 0; i < part.length; i++) {
            byte next = part[i];
            if (depth == 0) {
                if (next == '{') {
                    depth = 1;
                    start = i;
                } else if (!Character.isWhitespace(next)) {
                    return null;
                }
            } else if (next == '\n' && blankLine) {
                return null;
            } else if (endsObject(next)) {
                incomplete.write(part, start, i + 1 - start);
                objects.add(incomplete.toString(StandardCharsets.UTF_8));
                incomplete = new ByteArrayOutputStream();
            }
            blankLine = next == '\n' || (blankLine && next == '\r');
        }
        if (depth > 0) {
            incomplete.write(part, start, part.length - start);
        }
        return incomplete.size() > maxObjectBytes ? null : objects;
    }

    private boolean endsObject(byte next) {
        if (inString) {
            inString = escaped || next != '"';
            escaped = !escaped && next == '\\';
            return false;
        }
        switch (next) {
            case '"' -> inString = true;
            case '{', '[' -> depth++;
            case '}', ']' -> depth--;
            default -> {}
        }
        return depth == 0;
    }

    /** Whether an object has begun whose end has not arrived yet. */
    public boolean isMidObject() {
        return incomplete.size() > 0;
    }
}
