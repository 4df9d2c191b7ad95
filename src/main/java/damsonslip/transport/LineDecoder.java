package damsonslip.transport;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a body into its lines; bounded, so that a peer that never ends one cannot fill the memory.
 */
public final class LineDecoder {
    private final int most;
    private ByteArrayOutputStream begun = new ByteArrayOutputStream();

    public LineDecoder(int most) {
        this.most = most;
    }

    /** The lines that end in this part; null if one is too long. */
    public List<String> take(byte[] part) {
        List<String> lines = new ArrayList<>(2);
        int from = 0;
        for (int i = 0; i < part.length; i++) {
            if (part[i] == '\n') {
                begun.write(part, from, i - from);
                lines.add(begun.toString(StandardCharsets.UTF_8).trim());
                begun = new ByteArrayOutputStream();
                from = i + 1;
            }
        }
        begun.write(part, from, part.length - from);
        return begun.size() > most ? null : lines;
    }

    /** Bytes of a line whose end has not come yet. */
    public int begun() {
        return begun.size();
    }

    /** What came after the last line end. */
    public String rest() {
        String rest = begun.toString(StandardCharsets.UTF_8).trim();
        begun = new ByteArrayOutputStream();
        return rest;
    }
}
