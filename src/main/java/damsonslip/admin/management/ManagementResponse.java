package damsonslip.admin.management;

import damsonslip.admin.operations.Metric;
import damsonslip.admin.operations.OperationResult;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes the responses of the management protocol, in UTF-8. */
final class ManagementResponse {
    private ManagementResponse() {}

    /** {@code YES} or {@code NO} with a message, on one line. */
    static ByteBuffer of(OperationResult result) {
        return encode((result.succeeded() ? "YES " : "NO ") + result.message() + "\n");
    }

    /** {@code NO} with the reason, on one line. */
    static ByteBuffer failure(String reason) {
        return encode("NO " + reason + "\n");
    }

    /**
     * One line in StatsD's format for each metric, {@code router.NAME:VALUE|c} for a counter or
     * {@code |g} for a gauge, and a last line {@code END}.
     */
    static ByteBuffer of(List<Metric> metrics) {
        StringBuilder text = new StringBuilder();
        for (Metric metric : metrics) {
            text.append("router.")
                    .append(metric.name())
                    .append(':')
                    .append(metric.value())
                    .append(metric.gauge() ? "|g\n" : "|c\n");
        }
        return encode(text.append("END\n").toString());
    }

    private static ByteBuffer encode(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }
}
