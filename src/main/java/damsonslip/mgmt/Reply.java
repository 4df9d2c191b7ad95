package damsonslip.mgmt;

import damsonslip.operations.Figure;
import damsonslip.operations.Verdict;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Answers as they go over the wire. */
final class Reply {
    private Reply() { }

    static ByteBuffer of(Verdict verdict) {
        return bytes((verdict.yes() ? "YES " : "NO ") + verdict.words() + "\n");
    }

    static ByteBuffer no(String why) {
        return bytes("NO " + why + "\n");
    }

    /** A line for each figure, {@code router.NAME:VALUE|c} for a count and {@code |g} for a gauge, and the last one. */
    static ByteBuffer of(List<Figure> figures) {
        StringBuilder text = new StringBuilder();
        for (Figure figure : figures) {
            text.append("router.").append(figure.name()).append(':').append(figure.value())
                .append(figure.gauge() ? "|g\n" : "|c\n");
        }
        return bytes(text.append("END\n").toString());
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
