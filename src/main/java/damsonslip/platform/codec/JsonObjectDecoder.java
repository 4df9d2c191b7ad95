package damsonslip.platform.codec;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream into its JSON objects by their braces, however many lines each of them takes;
 * bounded, so that one that never ends cannot fill the memory. What is between the braces is for
 * the parser to judge.
 */
public final class JsonObjectDecoder {
    private final int most;
    private ByteArrayOutputStream begun = new ByteArrayOutputStream();
    private int depth;
    private boolean inText;
    private boolean escaped;

    /** Nothing stands in the line at hand yet. */
    private boolean blank;

    public JsonObjectDecoder(int most) {
        this.most = most;
    }

    /**
     * The objects that end in this part; null if something stands between them, one is too long, or
     * an empty line tells that the sender took one to be whole that is not.
     */
    public List<String> take(byte[] part) {
        List<String> whole = new ArrayList<>(1);
        int from = 0;
        for (int i = 0; i < part.length; i++) {
            if (depth == 0) {
                if (part[i] == '{') {
                    depth = 1;
                    from = i;
                } else if (!Character.isWhitespace(part[i])) {
                    return null;
                }
            } else if (part[i] == '\n' && blank) {
                return null;
            } else if (ends(part[i])) {
                begun.write(part, from, i + 1 - from);
                whole.add(begun.toString(StandardCharsets.UTF_8));
                begun = new ByteArrayOutputStream();
            }
            blank = part[i] == '\n' || blank && part[i] == '\r';
        }
        if (depth > 0) {
            begun.write(part, from, part.length - from);
        }
        return begun.size() > most ? null : whole;
    }

    /** Whether this byte of an object is its last one. */
    private boolean ends(byte next) {
        if (inText) {
            inText = escaped || next != '"';
            escaped = !escaped && next == '\\';
            return false;
        }
        switch (next) {
            case '"' -> inText = true;
            case '{', '[' -> depth++;
            case '}', ']' -> depth--;
            default -> {}
        }
        return depth == 0;
    }

    /** Bytes of an object whose end has not come yet. */
    public int begun() {
        return begun.size();
    }
}
