package damsonslip.faktory.codec;

import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.store.JobRecord;

/**
 * The JSON text of a job as workers receive it and as operators' filters match it: its body, with
 * fields for its state and failures since it was pushed.
 */
public final class JobJson {
    private static final String EMPTY_OBJECT = "{}";

    private JobJson() {}

    /**
     * Adds the fields from a job's record to its body. They are inserted before the closing brace
     * of the body, which {@link PushedJob} has written, so that the body need not be decoded again.
     *
     * @param enqueuedMs when it entered its queue, in milliseconds since the Unix epoch; 0 to omit
     *     the field
     */
    public static String merge(String body, JobRecord record, long enqueuedMs) {
        ObjectNode addedFields = Json.MAPPER.createObjectNode();
        if (enqueuedMs > 0) {
            addedFields.put("enqueued_at", Json.formatTime(enqueuedMs));
        }
        if (record.state() == JobRecord.State.SCHEDULED) {
            addedFields.put("at", Json.formatTime(record.dueMs()));
        }
        if (record.failure() != null) {
            putFailure(addedFields.putObject("failure"), record);
        }
        String fields = addedFields.toString();
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
