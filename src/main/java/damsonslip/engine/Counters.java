package damsonslip.engine;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/**
 * Counts what the process has accepted, sent and answered since its start.
 *
 * <p>Thread-safe.
 */
public final class Counters {
    /**
     * What is counted. Operators see the names in lower case at the console and in the log, and
     * tools parse them there, so they must not change.
     */
    public enum Count {
        /** Requests and jobs that were accepted. */
        QUERIES_TAKEN,
        /** Messages of clients that were rejected as invalid. */
        QUERIES_BAD,
        /** Requests whose client disconnected before the final response. */
        QUERIES_GONE,
        /** Final responses with a worker's result. */
        ANSWERS_SERVED,
        /** Final responses that reject a request because of overload. */
        ANSWERS_THROTTLED,
        /** Final responses to requests that failed. */
        ANSWERS_FAILED,
        /** Attempts requested by the policy. */
        EXECUTIONS_SENT,
        /** Attempts whose last byte was written to the worker. */
        EXECUTIONS_WRITTEN,
        /** Attempts that a worker served. */
        EXECUTIONS_SERVED,
        /** Attempts that a worker answered with an error. */
        EXECUTIONS_ERROR,
        /** Attempts that a worker rejected because it had no capacity. */
        EXECUTIONS_FULL,
        /** Attempts that exceeded their time limit. */
        EXECUTIONS_TIMED_OUT,
        /** Attempts for which no connection could be established. */
        EXECUTIONS_NOT_CONNECTED,
        /** Attempts whose connection closed before the response was complete. */
        EXECUTIONS_RESET,
        /** Attempts that were cancelled by the policy. */
        EXECUTIONS_CANCELLED,
        /** Attempts that ended before they were written. */
        EXECUTIONS_NEVER_SENT,
        /** Health checks requested by the policy. */
        PROBES_SENT,
        /** Connections established to workers. */
        SERVER_LINKS_OPENED,
        /** Connections to workers that were closed because they were idle for too long. */
        SERVER_LINKS_CLOSED_IDLE,
        /** Connections to workers that were evicted to make room for another one. */
        SERVER_LINKS_CLOSED_FOR_ROOM,
        /** Connections opened by clients. */
        CLIENT_LINKS_OPENED,
        /** Worker lists, and changes to them, from discovery. */
        LIST_UPDATES,
        /** Calls to discovery that failed, and watches on it that ended. */
        LIST_FAILURES,
        /** Attempts that were not written because the worker may no longer be sent to. */
        DRAINED_SENDS_STOPPED,
        /** Fetches of Faktory workers that were answered with a job. */
        FETCHES_ANSWERED,
        /** Pushes of jobs that had been accepted before. */
        PUSHES_REPEATED,
        /** Pushes of jobs that were rejected. */
        PUSHES_REFUSED,
        /** Reports of Faktory workers on jobs that are no longer assigned to them. */
        WORDS_LATE,
        /** Failed runs of jobs whose result no producer awaits. */
        RUNS_FAILED,
        /** Jobs that were discarded because they had expired. */
        JOBS_EXPIRED,
        /** Connections rejected because of a wrong password. */
        PASSWORDS_WRONG,
        /** Connection attempts to workers that were abandoned. */
        SERVER_DIALS_GIVEN_UP,
        /** Peers that were disconnected because they read too slowly. */
        SLOW_READERS_LET_GO,
        /** Peers that were disconnected because they sent too slowly. */
        SLOW_SENDERS_LET_GO,
        /** Uploads that were abandoned because the worker read them too slowly. */
        UPLOADS_GIVEN_UP,
        /** Reloads of the settings that were applied. */
        RELOADS_DONE,
        /** Reloads of the settings that were rejected. */
        RELOADS_REFUSED,
        /** Violations of invariants. */
        INVARIANTS_VIOLATED,
        /** Actions of the policy whose execution failed. */
        ACTIONS_FAILED,
        /** Tasks of the event loop that failed. */
        TASKS_FAILED,
        /** Jobs that were ended since the store has lost their content. */
        JOBS_LOST,
        /** Losses of data of the store that were detected. */
        STORE_DATA_LOST
    }

    private final Map<Count, AtomicLong> counts = new EnumMap<>(Count.class);

    /** Creates counters that are all zero. */
    public Counters() {
        for (Count count : Count.values()) {
            counts.put(count, new AtomicLong());
        }
    }

    /** Adds one to a counter. */
    public void add(Count count) {
        counts.get(count).incrementAndGet();
    }

    /** Returns the value of a counter. */
    public long get(Count count) {
        return counts.get(count).get();
    }

    /** Passes the name and value of every counter that is not zero to the consumer. */
    public void forEachNonZero(BiConsumer<String, Long> consumer) {
        for (Count count : Count.values()) {
            long value = get(count);
            if (value > 0) {
                consumer.accept(count.name().toLowerCase(Locale.ROOT), value);
            }
        }
    }

    /** Returns one line of {@code name=value} with all counters that are not zero. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("counters");
        forEachNonZero((name, value) -> text.append(' ').append(name).append('=').append(value));
        return text.toString();
    }
}
