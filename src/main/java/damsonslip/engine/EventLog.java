package damsonslip.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Keeps the newest events in memory. They are shown at the console, and logged with a violation of
 * an invariant, where the events that led to it matter. Logging a line for each event would cost
 * more than the event itself.
 *
 * <p>Used on the {@link EventLoop} only.
 */
public final class EventLog {
    /**
     * What happened to a request, a connection or the worker list. Operators see the names in lower
     * case at the console and in the log, so they stay as they are.
     */
    public enum Kind {
        /** A request was read completely and accepted. */
        TAKEN,
        /** The decision module has sent it to a worker. */
        SENT,
        /** Its last byte was written. */
        WRITTEN,
        /** The worker has reported that it runs it. */
        STARTED,
        /** An attempt has ended. */
        ENDED,
        /** The final response was given. */
        ANSWERED,
        /** The client disconnected before the final response. */
        DEPARTED,
        /** A message of a client was rejected as invalid. */
        REFUSED_AS_BAD,
        /** A client's connection has ended. */
        CLIENT_CLOSED,
        /** Discovery has sent workers, or its address has changed. */
        LISTED,
        /** A worker was listed as draining or removed. */
        DRAIN_TOLD,
        /** A call to discovery or the watch on it has ended. */
        LIST_LOST,
        /** The program has moved to another phase of its life. */
        PHASE
    }

    /**
     * One event.
     *
     * @param detail what the kind needs: a worker, an outcome, a reason
     */
    private record Entry(long atUs, Kind kind, String id, Object detail, long figure) {
        @Override
        public String toString() {
            String name = kind.name().toLowerCase(Locale.ROOT);
            return String.format(
                    Locale.ROOT, "%d %s id=%s detail=%s figure=%d", atUs, name, id, detail, figure);
        }
    }

    private static final int CAPACITY = 1_024;

    /** A ring: the entry with sequence number n is at index n modulo the capacity. */
    private final Entry[] entries = new Entry[CAPACITY];

    private long nextSequence;

    /**
     * Adds an event; the oldest one is dropped if the log is full.
     *
     * @param id the request's or worker's id; may be empty
     * @param figure a number whose meaning depends on the kind
     */
    public void add(long atUs, Kind kind, String id, Object detail, long figure) {
        entries[index(nextSequence)] = new Entry(atUs, kind, id, detail, figure);
        nextSequence++;
    }

    /**
     * Returns the newest events as text, the oldest of them first.
     *
     * @param limit how many at most
     * @param id only events with this id are returned, unless it is empty
     */
    public List<String> newest(int limit, String id) {
        List<String> found = new ArrayList<>();
        long oldest = Math.max(0, nextSequence - CAPACITY);
        for (long i = nextSequence - 1; i >= oldest && found.size() < limit; i--) {
            Entry entry = entries[index(i)];
            if (id.isEmpty() || entry.id().equals(id)) {
                found.add(0, entry.toString());
            }
        }
        return found;
    }

    private static int index(long sequence) {
        return (int) (sequence % CAPACITY);
    }
}
