package damsonslip.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The newest events with their ids, kept in memory: read at the console, and written to the log
 * behind a violation, where what led to it counts. A line for each event would cost more than the
 * event. Used on the loop.
 */
public final class EventLog {
    /** What happens to a request, a connection or the list. */
    public enum Kind {
        /** A client's request was read whole and taken in. */
        TAKEN,
        /** The module has sent it to a worker. */
        SENT,
        /** Its last byte has left. */
        WRITTEN,
        /** The worker has begun it. */
        STARTED,
        /** An attempt has ended. */
        ENDED,
        /** The final answer was given. */
        ANSWERED,
        /** The client left before it had one. */
        DEPARTED,
        /** A message that could not be served. */
        REFUSED_AS_BAD,
        /** A client's connection has ended. */
        CLIENT_CLOSED,
        /** Discovery has told of workers. */
        LISTED,
        /** A worker was told to drain or to have gone. */
        DRAIN_TOLD,
        /** A call to discovery or the watch on it has ended. */
        LIST_LOST,
        /** The program has moved to another phase. */
        PHASE
    }

    /** One event; the detail is what the kind needs: a worker, an outcome, a reason. */
    private record Entry(long atUs, Kind kind, String id, Object detail, long figure) {
        @Override
        public String toString() {
            String name = kind.name().toLowerCase(Locale.ROOT);
            return String.format(
                    Locale.ROOT, "%d %s id=%s detail=%s figure=%d", atUs, name, id, detail, figure);
        }
    }

    private static final int SIZE = 1_024;

    private final Entry[] entries = new Entry[SIZE];
    private long count;

    /** Notes an event down; the oldest one goes. */
    public void add(long atUs, Kind kind, String id, Object detail, long figure) {
        entries[(int) (count++ % SIZE)] = new Entry(atUs, kind, id, detail, figure);
    }

    /** The newest events, the oldest of them first; those of this id alone, unless it is empty. */
    public List<String> newest(int most, String id) {
        List<String> found = new ArrayList<>();
        for (long i = count - 1; i >= Math.max(0, count - SIZE) && found.size() < most; i--) {
            Entry entry = entries[(int) (i % SIZE)];
            if (id.isEmpty() || entry.id().equals(id)) {
                found.add(0, entry.toString());
            }
        }
        return found;
    }
}
