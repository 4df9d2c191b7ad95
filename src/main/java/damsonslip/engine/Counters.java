package damsonslip.engine;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.BiConsumer;

/** What the program has taken in, sent and answered since its start. */
public final class Counters {
    /** Each thing that is counted. */
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

    private final AtomicLongArray counts = new AtomicLongArray(Count.values().length);

    public void add(Count count) {
        counts.incrementAndGet(count.ordinal());
    }

    public long get(Count count) {
        return counts.get(count.ordinal());
    }

    /** Tells every count that is not nought. */
    public void each(BiConsumer<String, Long> taker) {
        for (Count count : Count.values()) {
            if (get(count) > 0) {
                taker.accept(count.name().toLowerCase(Locale.ROOT), get(count));
            }
        }
    }

    /** One line of {@code name=value}, without what never happened. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("counters");
        each((name, count) -> text.append(' ').append(name).append('=').append(count));
        return text.toString();
    }
}
