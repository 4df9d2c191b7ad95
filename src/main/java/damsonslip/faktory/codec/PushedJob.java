package damsonslip.faktory.codec;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A pushed job with Faktory's meanings and defaults. Immutable. Times are in milliseconds since the
 * Unix epoch.
 *
 * @param jid its id
 * @param jobtype the type by which workers know what to run
 * @param queue the queue that workers fetch it from
 * @param priority 1 to 9, the highest first
 * @param retryLimit the number of retries; 0 discards the job on failure, -1 moves it to the dead
 *     set
 * @param reservationMs how long a worker may have it without a report, in milliseconds
 * @param scheduledMs when it shall run; 0 for at once
 * @param backtraceLines the number of lines of a failure's backtrace that are recorded
 * @param custom the options beyond the protocol's own fields
 * @param body the job as workers get it, apart from what changes while it waits
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
     * @param className the job class that it names; may be empty
     * @param deadlineMs when its producer stops waiting for it; 0 if no client waits
     * @param slots the slots that it occupies
     * @param expiresMs the time from which it must not run any more; 0 for never
     * @param uniqueForMs how long no other job like it is accepted, in milliseconds; 0 for not at
     *     all
     * @param uniqueUntilStart whether that ends once a worker has it
     * @param batchId the batch that it belongs to; may be empty
     */
    public record CustomOptions(
            String className,
            long deadlineMs,
            int slots,
            long expiresMs,
            long uniqueForMs,
            boolean uniqueUntilStart,
            String batchId) {
        /** The options of a job that has none. */
        static final CustomOptions NONE = new CustomOptions("", 0, 1, 0, 0, false, "");
    }

    /**
     * Decodes a job.
     *
     * @param minReservationS a shorter {@code reserve_for} is raised to this, in seconds
     * @throws MalformedCommandException if the job is not valid; the message names the field
     */
    public static PushedJob decode(JsonNode job, long nowMs, int minReservationS)
            throws MalformedCommandException {
        return new PushedJobDecoder(nowMs, minReservationS).decode(job);
    }
}
