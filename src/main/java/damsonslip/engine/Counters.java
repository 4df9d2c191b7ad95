package damsonslip.engine;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;

/**
 * Counts what the program has accepted, sent and answered since its start.
 *
 * <p>Thread-safe.
 */
public final class Counters {
    /**
     * What is counted. Operators see the names in lower case at the console and in the log, and
     * tools read them there, so they stay as they are.
     */
    public enum Count {
        QUERIES_TAKEN,
        QUERIES_BAD,
        QUERIES_GONE,
        ANSWERS_SERVED,
        ANSWERS_THROTTLED,
        ANSWERS_FAILED,
        EXECUTIONS_SENT,
        EXECUTIONS_WRITTEN,
        EXECUTIONS_SERVED,
        EXECUTIONS_ERROR,
        EXECUTIONS_FULL,
        EXECUTIONS_TIMED_OUT,
        EXECUTIONS_NOT_CONNECTED,
        EXECUTIONS_RESET,
        EXECUTIONS_CANCELLED,
        EXECUTIONS_NEVER_SENT,
        PROBES_SENT,
        SERVER_LINKS_OPENED,
        SERVER_LINKS_CLOSED_IDLE,
        SERVER_LINKS_CLOSED_FOR_ROOM,
        CLIENT_LINKS_OPENED,
        LIST_UPDATES,
        LIST_FAILURES,
        DRAINED_SENDS_STOPPED,
        FETCHES_ANSWERED,
        PUSHES_REPEATED,
        PUSHES_REFUSED,
        WORDS_LATE,
        RUNS_FAILED,
        JOBS_EXPIRED,
        PASSWORDS_WRONG,
        SERVER_DIALS_GIVEN_UP,
        SLOW_READERS_LET_GO,
        SLOW_SENDERS_LET_GO,
        UPLOADS_GIVEN_UP,
        RELOADS_DONE,
        RELOADS_REFUSED,
        INVARIANTS_VIOLATED,
        ACTIONS_FAILED,
        TASKS_FAILED
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

    /** Passes name and value of every counter that is not zero to the consumer. */
    public void each(BiConsumer<String, Long> consumer) {
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
        each((name, value) -> text.append(' ').append(name).append('=').append(value));
        return text.toString();
    }
}
