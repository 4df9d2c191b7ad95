package damsonslip.faktory.codec;

import com.fasterxml.jackson.databind.node.ObjectNode;
import damsonslip.store.JobRecord;

/**
 * The job as a worker, or an operator's filter, sees it: its body with what has become of it since.
 */
public final class JobText {
    private JobText() {}

    /**
     * Puts the two together. The body is an object that was written by {@link PushedJob}, so that
     * what is added goes before its last brace without reading it again.
     */
    public static String merge(String body, JobRecord record, long enqueuedMs) {
        ObjectNode added = Json.MAPPER.createObjectNode();
        if (enqueuedMs > 0) {
            added.put("enqueued_at", Json.time(enqueuedMs));
        }
        if (record.state() == JobRecord.State.SCHEDULED) {
            added.put("at", Json.time(record.dueMs()));
        }
        JobRecord.Failure failure = record.failure();
        if (failure != null) {
            ObjectNode how =
                    added.putObject("failure")
                            .put("retry_count", failure.count())
                            .put(
                                    "remaining",
                                    Math.max(0, record.options().retryLimit() - failure.count()))
                            .put("failed_at", Json.time(failure.failedMs()));
            if (failure.nextMs() > 0) {
                how.put("next_at", Json.time(failure.nextMs()));
            }
            how.put("errtype", failure.type()).put("message", failure.message());
            failure.backtrace().forEach(how.withArray("backtrace")::add);
        }
        String more = added.toString();
        return more.length() == 2
                ? body
                : body.substring(0, body.length() - 1) + "," + more.substring(1);
    }
}
