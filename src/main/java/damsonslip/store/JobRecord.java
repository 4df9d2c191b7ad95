package damsonslip.store;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * What the store holds of a job, apart from its body. Kept small, since the record of each open job
 * is in memory while its body stays in the store until a worker receives it.
 *
 * <p>Immutable. Times are in milliseconds since the Unix epoch. The {@link JsonProperty} names are
 * those of the stored form.
 *
 * @param id the job's id
 * @param state the job's state
 * @param options what was settled when the job was pushed
 * @param failure the last failure; null if there was none
 * @param sequence the position in the order of arrival
 * @param dueMs when a scheduled job or a retry is due; otherwise 0
 * @param worker the worker that has it reserved, or had it last; may be empty
 * @param firstRunMs when it was first handed to a worker; 0 as long as it provably never ran
 * @param detail how it ended, as text; may be empty
 * @param updatedMs when this record was written
 */
public record JobRecord(
        String id,
        State state,
        @JsonProperty("facts") Options options,
        Failure failure,
        @JsonProperty("seq") long sequence,
        long dueMs,
        String worker,
        long firstRunMs,
        String detail,
        long updatedMs) {

    /** The state of a job. */
    public enum State {
        /** Waiting in its queue. */
        QUEUED,
        /** Handed to a worker or about to be: from here on it may have run. */
        RESERVED,
        /** Waiting for the time at which its producer wants it to run. */
        SCHEDULED,
        /** Failed, and waiting for its next retry. */
        RETRY,
        /** In the dead set: runs again only if an operator requeues it. */
        DEAD,
        /** Acknowledged by its worker. */
        SUCCESS,
        /** Rejected by admission control before it ran. */
        @JsonProperty("REFUSED")
        REJECTED,
        /** Ended without success while its producer waited for it. */
        FAILED,
        /** Discarded by its retry limit, its expiry or an operator. */
        DISCARDED;

        /** Whether a job never leaves this state. */
        public boolean isFinal() {
            return compareTo(SUCCESS) >= 0;
        }
    }

    /**
     * What is settled when a job is pushed.
     *
     * @param queue the queue that workers fetch it from
     * @param jobtype the type by which workers know what to run
     * @param className the name of its job class
     * @param priority 1 to 9, the highest first
     * @param retryLimit the number of retries; 0 discards the job on failure, -1 moves it to the
     *     dead set
     * @param reservationMs how long a worker may have it without a report, in milliseconds
     * @param slots the slots that it occupies
     * @param deadlineMs when its producer stops waiting for it; 0 if no client waits
     * @param expiresMs the time from which it must not run any more; 0 for never
     * @param batchId the batch that it belongs to; may be empty
     * @param callbackBatchId the batch whose callback it is; may be empty
     * @param uniqueKey the key that no other open job may have; may be empty
     * @param uniqueUntilMs until when the key is locked
     * @param uniqueUntilStart whether the key is locked only until a worker has the job
     * @param backtraceLines the number of lines of a failure's backtrace that are recorded
     */
    public record Options(
            String queue,
            String jobtype,
            String className,
            int priority,
            @JsonProperty("retry") int retryLimit,
            @JsonProperty("reserveMs") long reservationMs,
            int slots,
            long deadlineMs,
            long expiresMs,
            @JsonProperty("bid") String batchId,
            @JsonProperty("callbackOf") String callbackBatchId,
            String uniqueKey,
            @JsonProperty("uniqueMs") long uniqueUntilMs,
            @JsonProperty("untilStart") boolean uniqueUntilStart,
            @JsonProperty("backtrace") int backtraceLines) {
        /** Interns the names, which very many waiting jobs share; null becomes the empty text. */
        public Options {
            queue = interned(queue);
            jobtype = interned(jobtype);
            className = interned(className);
            batchId = interned(batchId);
            callbackBatchId = interned(callbackBatchId);
            uniqueKey = emptyIfNull(uniqueKey);
        }

        private static String interned(String text) {
            return emptyIfNull(text).intern();
        }
    }

    /**
     * The failures of a job.
     *
     * @param count the number of retries before the last failure
     * @param failedMs when it failed last
     * @param nextMs when its next retry was due; 0 if there was none
     * @param type the type of the error, as its worker reported it
     * @param message the error's message
     * @param backtrace the first lines of the stack trace, as many as the job asked for
     */
    public record Failure(
            int count,
            long failedMs,
            long nextMs,
            String type,
            String message,
            List<String> backtrace) {
        /** Replaces null by an empty text or list. */
        public Failure {
            type = emptyIfNull(type);
            message = emptyIfNull(message);
            backtrace = backtrace == null ? List.of() : List.copyOf(backtrace);
        }
    }

    /** Replaces null texts by empty ones. */
    public JobRecord {
        worker = emptyIfNull(worker);
        detail = emptyIfNull(detail);
    }

    private static String emptyIfNull(String text) {
        return text == null ? "" : text;
    }

    /**
     * A job that has just been pushed.
     *
     * @param dueMs when it shall run; 0 for at once
     */
    public static JobRecord pushed(String id, Options options, long dueMs, long nowMs) {
        State state = dueMs > 0 ? State.SCHEDULED : State.QUEUED;
        return new JobRecord(id, state, options, null, 0, dueMs, "", 0, "", nowMs);
    }

    /** Whether it provably never ran. */
    public boolean hasNeverRun() {
        return firstRunMs == 0;
    }

    /** Whether a client waits for its end. */
    public boolean hasWaitingClient() {
        return options.deadlineMs() > 0;
    }

    /** The job in its queue, at this position in the order of arrival. */
    public JobRecord enqueued(long position, long nowMs) {
        return new JobRecord(
                id, State.QUEUED, options, failure, position, 0, "", firstRunMs, "", nowMs);
    }

    /** The job reserved by a worker. */
    public JobRecord reserved(String by, long nowMs) {
        long firstMs = firstRunMs == 0 ? nowMs : firstRunMs;
        return new JobRecord(
                id, State.RESERVED, options, failure, sequence, 0, by, firstMs, "", nowMs);
    }

    /**
     * The job back in its queue, from a worker that provably never received it.
     *
     * @param ranBefore whether it may have run before that reservation
     */
    public JobRecord returned(boolean ranBefore, long nowMs) {
        long firstMs = ranBefore ? firstRunMs : 0;
        return new JobRecord(
                id, State.QUEUED, options, failure, sequence, 0, "", firstMs, "", nowMs);
    }

    /**
     * The job in another state.
     *
     * @param newDueMs when it is due there; 0 for a final state
     * @param newDetail why it is there, as shown to operators and to those who track the job
     */
    public JobRecord withState(State next, long newDueMs, String newDetail, long nowMs) {
        return new JobRecord(
                id,
                next,
                options,
                failure,
                sequence,
                newDueMs,
                worker,
                firstRunMs,
                newDetail,
                nowMs);
    }

    /** The job with its last failure. */
    public JobRecord withFailure(Failure last) {
        return new JobRecord(
                id, state, options, last, sequence, dueMs, worker, firstRunMs, detail, updatedMs);
    }

    /** The job at this position in the order of arrival. */
    public JobRecord withSequence(long position) {
        return new JobRecord(
                id,
                state,
                options,
                failure,
                position,
                dueMs,
                worker,
                firstRunMs,
                detail,
                updatedMs);
    }

    /** The stored form, as JSON. */
    public String encode() {
        return JobRecordJson.encode(this);
    }

    /**
     * Decodes the stored form.
     *
     * @throws StoreException if the text is not a record that {@link #encode} wrote
     */
    public static JobRecord decode(String text) throws StoreException {
        return JobRecordJson.decode(text);
    }
}
