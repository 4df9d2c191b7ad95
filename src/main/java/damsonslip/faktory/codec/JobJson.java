package damsonslip.faktory.codec;

import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.store.JobRecord;

/**
 * The text of a job as a worker, or an operator's filter, sees it: its body with what has become of
 * it since it was pushed.
 */
public final class JobJson {
    private static final String EMPTY_OBJECT = "{}";

    private JobJson() {}

    /**
     * Merges a job's body with its record. The fields are inserted before the body's last brace,
     * which {@link PushedJob} has written, so that the body is not decoded again.
     *
     * @param enqueuedMs when it entered its queue, in milliseconds since the Unix epoch; 0 to omit
     *     that
     */
    public static String merge(String body, JobRecord record, long enqueuedMs) {
        ObjectNode added = Json.MAPPER.createObjectNode();
        if (enqueuedMs > 0) {
            added.put("enqueued_at", Json.formatTime(enqueuedMs));
        }
        if (record.state() == JobRecord.State.SCHEDULED) {
            added.put("at", Json.formatTime(record.dueMs()));
        }
        if (record.failure() != null) {
            putFailure(added.putObject("failure"), record);
        }
        String fields = added.toString();
        return fields.equals(EMPTY_OBJECT)
                ? body
                : body.substring(0, body.length() - 1) + "," + fields.substring(1);
    }

    private static void putFailure(ObjectNode target, JobRecord record) {
        JobRecord.Failure failure = record.failure();
        int remaining = Math.max(0, record.options().retryLimit() - failure.count());
        target.put("retry_count", failure.count())
                .put("remaining", remaining)
                .put("failed_at", Json.formatTime(failure.failedMs()));
        if (failure.nextMs() > 0) {
            target.put("next_at", Json.formatTime(failure.nextMs()));
        }
        target.put("errtype", failure.type()).put("message", failure.message());
        failure.backtrace().forEach(target.withArray("backtrace")::add);
    }
}
