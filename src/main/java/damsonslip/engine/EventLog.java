package damsonslip.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Keeps the newest events in memory, since logging a line for each event would cost more than
 * handling the event. They are shown at the console, and logged together with a violation of an
 * invariant to show what led to it.
 *
 * <p>Used on the {@link EventLoop} only.
 */
public final class EventLog {
    /**
     * What happened to a request, a connection or the worker list. Operators see the names in lower
     * case at the console and in the log, so they must not change.
     */
    public enum Kind {
        /** A request was read completely and accepted. */
        TAKEN,
        /** The policy has sent it to a worker. */
        SENT,
        /** Its last byte was written to the worker. */
        WRITTEN,
        /** The worker has reported that it started the request. */
        STARTED,
        /** An attempt has ended. */
        ENDED,
        /** The final response was given. */
        ANSWERED,
        /** The client disconnected before the final response. */
        DEPARTED,
        /** A message of a client was rejected as invalid. */
        REFUSED_AS_BAD,
        /** A client's connection was closed. */
        CLIENT_CLOSED,
        /** Discovery has sent workers, or its address has changed. */
        LISTED,
        /** A worker was listed as draining or removed. */
        DRAIN_TOLD,
        /** A call to discovery has failed or the watch on it has ended. */
        LIST_LOST,
        /** The process has moved to another {@link LifecyclePhase}. */
        PHASE
    }

    /**
     * One event.
     *
     * @param detail depends on the kind, such as a worker, an outcome or a reason
     * @param figure a number that depends on the kind
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

    /** Longer ids and texts of peers are shortened, so that the log takes little memory. */
    private static final int MAX_TEXT_LENGTH = 256;

    /** A ring buffer: the entry with sequence number n is at index n modulo the capacity. */
    private final Entry[] entries = new Entry[CAPACITY];

    private long nextSequence;

    /**
     * Adds an event; the oldest one is dropped if the log is full.
     *
     * @param id the request's or worker's id; may be empty
     * @param figure a number whose meaning depends on the kind
     */
    public void add(long atUs, Kind kind, String id, Object detail, long figure) {
        Object shownDetail = detail instanceof String text ? shorten(text) : detail;
        entries[index(nextSequence)] = new Entry(atUs, kind, shorten(id), shownDetail, figure);
        nextSequence++;
    }

    /**
     * Returns the newest events as text, in the order in which they occurred.
     *
     * @param limit the maximum number of events
     * @param id returns only events with this id, or all if it is empty
     */
    public List<String> newest(int limit, String id) {
        List<String> found = new ArrayList<>();
        String loggedId = shorten(id);
        long oldest = Math.max(0, nextSequence - CAPACITY);
        for (long i = nextSequence - 1; i >= oldest && found.size() < limit; i--) {
            Entry entry = entries[index(i)];
            if (id.isEmpty() || entry.id().equals(loggedId)) {
                found.add(0, entry.toString());
            }
        }
        return found;
    }

    private static String shorten(String text) {
        return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }

    private static int index(long sequence) {
        return (int) (sequence % CAPACITY);
    }
}
