package damsonslip.store;

import com.fasterxml.jackson.annotation.JsonInclude.Include;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.List;

/**
 * What the store holds of one job, apart from its body. It is small on purpose: a record of every
 * open job sits in memory, while bodies stay in the store until a worker gets them.
 *
 * @param id the job's id
 * @param state how far it is
 * @param facts what was settled when it was pushed
 * @param failure how it failed last, or null
 * @param seq its place in the order of arrival
 * @param dueMs when a scheduled job, or a retry, is due, in Unix time; else 0
 * @param worker who has it reserved, or had it last; may be empty
 * @param firstRunMs when it was first handed to a worker, in Unix time; 0 as long as it provably
 *     never ran
 * @param detail how it ended, in words; may be empty
 * @param updatedMs when this was written, in Unix time
 */
public record JobRecord(
        String id,
        State state,
        Facts facts,
        Failure failure,
        long seq,
        long dueMs,
        String worker,
        long firstRunMs,
        String detail,
        long updatedMs) {
    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .defaultPropertyInclusion(
                            com.fasterxml.jackson.annotation.JsonInclude.Value.construct(
                                    Include.NON_DEFAULT, Include.ALWAYS))
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .build();

    /** How far a job may be; from {@link #SUCCESS} on it is over. */
    public enum State {
        /** Waits in its queue, and is with no worker. */
        QUEUED,
        /** With a worker, or about to be: from here on it may have run. */
        RESERVED,
        /** Waits for its time. */
        SCHEDULED,
        /** Has failed, and waits for its time to run again. */
        RETRY,
        /** Nothing runs it any more unless an operator says so. */
        DEAD,
        SUCCESS,
        REFUSED,
        FAILED,
        /** Thrown away by its own retry count, its expiry or an operator. */
        DISCARDED;

        public boolean isFinal() {
            return compareTo(SUCCESS) >= 0;
        }
    }

    /**
     * What is settled when a job is pushed.
     *
     * @param queue the queue that workers fetch it from
     * @param jobtype what workers know it by
     * @param className the name of its class
     * @param priority 1 to 9, the highest first
     * @param retry how often it may be tried again; 0 discards it on failure, -1 sends it to the
     *     dead
     * @param reserveMs how long a worker may keep it without a word
     * @param slots the slots it takes
     * @param deadlineMs when its producer gives up waiting, in Unix time; 0 if nobody waits
     * @param expiresMs from when on it must not run any more, in Unix time; 0 for never
     * @param bid the batch it belongs to, or empty
     * @param callbackOf the batch whose callback it is, or empty
     * @param uniqueKey what no other open job may have, or empty
     * @param uniqueMs until when that holds, in Unix time
     * @param untilStart whether it holds only until a worker has the job
     * @param backtrace lines of a failure's backtrace that are kept
     */
    public record Facts(
            String queue,
            String jobtype,
            String className,
            int priority,
            int retry,
            long reserveMs,
            int slots,
            long deadlineMs,
            long expiresMs,
            String bid,
            String callbackOf,
            String uniqueKey,
            long uniqueMs,
            boolean untilStart,
            int backtrace) {
        public Facts {
            queue = named(queue); // a hundred thousand waiting jobs share a few names
            jobtype = named(jobtype);
            className = named(className);
            bid = named(bid);
            callbackOf = named(callbackOf);
            uniqueKey = uniqueKey == null ? "" : uniqueKey;
        }

        private static String named(String text) {
            return text == null ? "" : text.intern();
        }
    }

    /**
     * A job's failures.
     *
     * @param count how often it was tried again so far
     * @param failedMs when it failed last, in Unix time
     * @param nextMs when it was to be tried again, in Unix time; 0 if it was not
     * @param type what kind of error, in the worker's words
     * @param message which error
     * @param backtrace where, as far as the job asked for it
     */
    public record Failure(
            int count,
            long failedMs,
            long nextMs,
            String type,
            String message,
            List<String> backtrace) {
        public Failure {
            type = type == null ? "" : type;
            message = message == null ? "" : message;
            backtrace = backtrace == null ? List.of() : List.copyOf(backtrace);
        }
    }

    public JobRecord {
        worker = worker == null ? "" : worker;
        detail = detail == null ? "" : detail;
    }

    /** A job that has just been pushed. */
    public static JobRecord pushed(String id, Facts facts, long dueMs, long nowMs) {
        return new JobRecord(
                id,
                dueMs > 0 ? State.SCHEDULED : State.QUEUED,
                facts,
                null,
                0,
                dueMs,
                "",
                0,
                "",
                nowMs);
    }

    /** Whether it provably never ran. */
    public boolean neverRan() {
        return firstRunMs == 0;
    }

    /** Whether somebody waits for its end. */
    public boolean awaited() {
        return facts.deadlineMs > 0;
    }

    /** Into its queue, at this place in the order of arrival. */
    public JobRecord queued(long at, long nowMs) {
        return new JobRecord(id, State.QUEUED, facts, failure, at, 0, "", firstRunMs, "", nowMs);
    }

    /** To a worker. */
    public JobRecord reserved(String by, long nowMs) {
        return new JobRecord(
                id,
                State.RESERVED,
                facts,
                failure,
                seq,
                0,
                by,
                firstRunMs == 0 ? nowMs : firstRunMs,
                "",
                nowMs);
    }

    /** Back from a worker that provably never had it. */
    public JobRecord handedBack(boolean ranBefore, long nowMs) {
        return new JobRecord(
                id,
                State.QUEUED,
                facts,
                failure,
                seq,
                0,
                "",
                ranBefore ? firstRunMs : 0,
                "",
                nowMs);
    }

    /** To another set, or to its end; the time is that at which it is due. */
    public JobRecord to(State next, long atMs, String words, long nowMs) {
        return new JobRecord(id, next, facts, failure, seq, atMs, worker, firstRunMs, words, nowMs);
    }

    public JobRecord failed(Failure how) {
        return new JobRecord(
                id, state, facts, how, seq, dueMs, worker, firstRunMs, detail, updatedMs);
    }

    public JobRecord numbered(long at) {
        return new JobRecord(
                id, state, facts, failure, at, dueMs, worker, firstRunMs, detail, updatedMs);
    }

    public String encode() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of plain values", e);
        }
    }

    /** Reads what {@link #encode} wrote; anything else is an error of the store's. */
    public static JobRecord decode(String text) throws StoreException {
        try {
            JobRecord record = JSON.readValue(text, JobRecord.class);
            if (record.id == null || record.state == null || record.facts == null) {
                throw new StoreException("a record in the store is not whole", null);
            }
            return record;
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new StoreException("a record in the store cannot be read", e);
        }
    }
}
