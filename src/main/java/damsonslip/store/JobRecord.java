package damsonslip.store;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The stored data of a job, apart from its body. A record is kept small, since those of all open
 * jobs are in memory, while the bodies stay in the store until a worker receives them.
 *
 * <p>Immutable. Times are in milliseconds since the Unix epoch. The {@link JsonProperty}
 * annotations give the names in the stored form.
 *
 * @param id the job's id
 * @param state the job's state
 * @param options the options that were set when the job was pushed
 * @param failure the last failure; null if there was none
 * @param sequence the position in the order in which jobs are queued
 * @param dueMs when a scheduled job or a retry is due; otherwise 0
 * @param worker the worker that holds the reservation, or held it last; may be empty
 * @param firstRunMs when it was first sent to a worker; 0 if it provably never ran
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
        /** Sent to a worker or about to be sent: it may have run. */
        RESERVED,
        /** Waiting for the time at which its producer wants it to run. */
        SCHEDULED,
        /** Failed, and waiting for its next retry. */
        RETRY,
        /** In the dead set: not run again unless an operator requeues it. */
        DEAD,
        /** Acknowledged by its worker. */
        SUCCESS,
        /** Rejected by admission control before it ran. */
        @JsonProperty("REFUSED")
        REJECTED,
        /** Ended without success while a client waited for its result. */
        FAILED,
        /** Discarded by its retry limit, its expiry or an operator. */
        DISCARDED;

        /** Whether a job never leaves this state. */
        public boolean isFinal() {
            return compareTo(SUCCESS) >= 0;
        }
    }

    /**
     * The options that are set when a job is pushed.
     *
     * @param queue the queue that workers fetch it from
     * @param jobtype the type, by which workers select the code to run
     * @param className the name of the job class
     * @param priority 1 to 9, the highest first
     * @param retryLimit the number of retries; 0 discards the job on failure, -1 moves it to the
     *     dead set
     * @param reservationMs how long a worker may hold the reservation without a report, in
     *     milliseconds
     * @param slots the number of slots that it occupies
     * @param deadlineMs when the client stops waiting for the result; 0 if no client waits
     * @param expiresMs the time from which it must not be started any more; 0 for none
     * @param batchId the batch that it belongs to; may be empty
     * @param callbackBatchId the batch that it is a callback of; may be empty
     * @param uniqueKey the key that is unique among open jobs; may be empty
     * @param uniqueUntilMs when the lock on the key expires
     * @param uniqueUntilStart whether the key is unlocked as soon as a worker has the job
     * @param backtraceLines the maximum number of recorded backtrace lines of a failure
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
        /** Interns the names, which are shared by many jobs, and replaces null by empty strings. */
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
     * @param backtrace the first lines of the stack trace, up to the job's limit
     */
    public record Failure(
            int count,
            long failedMs,
            long nextMs,
            String type,
            String message,
            List<String> backtrace) {
        /** Replaces null by an empty string or list. */
        public Failure {
            type = emptyIfNull(type);
            message = emptyIfNull(message);
            backtrace = backtrace == null ? List.of() : List.copyOf(backtrace);
        }
    }

    /** Replaces null by empty strings. */
    public JobRecord {
        worker = emptyIfNull(worker);
        detail = emptyIfNull(detail);
    }

    private static String emptyIfNull(String text) {
        return text == null ? "" : text;
    }

    /**
     * Creates the record of a job that has just been pushed.
     *
     * @param dueMs when it is due; 0 for immediately
     */
    public static JobRecord pushed(String id, Options options, long dueMs, long nowMs) {
        State state = dueMs > 0 ? State.SCHEDULED : State.QUEUED;
        return new JobRecord(id, state, options, null, 0, dueMs, "", 0, "", nowMs);
    }

    /** Whether the job provably never ran. */
    public boolean hasNeverRun() {
        return firstRunMs == 0;
    }

    /** Whether a client waits for the job's result. */
    public boolean hasWaitingClient() {
        return options.deadlineMs() > 0;
    }

    /** The record of the job in its queue, at this position in the queuing order. */
    public JobRecord enqueued(long position, long nowMs) {
        return new JobRecord(
                id, State.QUEUED, options, failure, position, 0, "", firstRunMs, "", nowMs);
    }

    /** The record of the job reserved by a worker. */
    public JobRecord reserved(String by, long nowMs) {
        long firstMs = firstRunMs == 0 ? nowMs : firstRunMs;
        return new JobRecord(
                id, State.RESERVED, options, failure, sequence, 0, by, firstMs, "", nowMs);
    }

    /**
     * The record of the job returned to its queue, since the worker provably never received it.
     *
     * @param ranBefore whether it may have run before that reservation
     */
    public JobRecord returned(boolean ranBefore, long nowMs) {
        long firstMs = ranBefore ? firstRunMs : 0;
        return new JobRecord(
                id, State.QUEUED, options, failure, sequence, 0, "", firstMs, "", nowMs);
    }

    /**
     * The record of the job in another state.
     *
     * @param newDueMs when it is due there; 0 for a final state
     * @param newDetail the reason for the state, as shown to operators and to clients that track
     *     the job
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

    /** The record with this last failure. */
    public JobRecord withFailure(Failure last) {
        return new JobRecord(
                id, state, options, last, sequence, dueMs, worker, firstRunMs, detail, updatedMs);
    }

    /** The record with this position in the queuing order. */
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
