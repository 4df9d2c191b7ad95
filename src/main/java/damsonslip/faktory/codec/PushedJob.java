package damsonslip.faktory.codec;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A pushed job, with Faktory's defaults applied. Immutable. Times are in milliseconds since the
 * Unix epoch.
 *
 * @param jid its id
 * @param jobtype the type that tells workers what to run
 * @param queue the queue that workers fetch it from
 * @param priority 1 to 9, the highest first
 * @param retryLimit the number of retries; 0 discards the job on failure, -1 moves it to the dead
 *     set
 * @param reservationMs how long a worker may hold it without a report, in milliseconds
 * @param scheduledMs when it is to run; 0 for immediately
 * @param backtraceLines the maximum number of backtrace lines that are recorded on failure
 * @param custom the options that are not part of the protocol itself
 * @param body the JSON text that workers receive, without the fields that change while it waits
 */
public record PushedJob(
        String jid,
        String jobtype,
        String queue,
        int priority,
        int retryLimit,
        long reservationMs,
        long scheduledMs,
        int backtraceLines,
        CustomOptions custom,
        String body) {
    /**
     * The options in the field {@code custom}.
     *
     * @param className the name of its job class; empty if the routes decide
     * @param deadlineMs when its producer stops waiting for it; 0 if no client waits for it
     * @param slots the number of slots that it occupies
     * @param expiresMs the time from which it must no longer run; 0 for never
     * @param uniqueForMs how long its duplicates are rejected, in milliseconds; 0 if it is not a
     *     unique job
     * @param uniqueUntilStart whether duplicates are accepted again once a worker has it
     * @param batchId the id of the batch that it belongs to; may be empty
     */
    public record CustomOptions(
            String className,
            long deadlineMs,
            int slots,
            long expiresMs,
            long uniqueForMs,
            boolean uniqueUntilStart,
            String batchId) {
        /** The options of a job without the field {@code custom}. */
        static final CustomOptions NONE = new CustomOptions("", 0, 1, 0, 0, false, "");
    }

    /**
     * Decodes a job.
     *
     * @param minReservationS the minimum reservation in seconds, to which a shorter {@code
     *     reserve_for} is raised
     * @throws MalformedCommandException if the job is not valid; the message names the field
     */
    public static PushedJob decode(JsonNode job, long nowMs, int minReservationS)
            throws MalformedCommandException {
        return new PushedJobDecoder(nowMs, minReservationS).decode(job);
    }
}
