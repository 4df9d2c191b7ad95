package damsonslip.transport.datarate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounds the memory that all connections of one kind hold together for what their peers have sent:
 * messages that are incomplete, which may be discarded with their connections, and messages that
 * have been accepted, which may not.
 *
 * <p>If incomplete messages exceed what the accepted ones leave, the connections that have held the
 * most bytes for the longest time are chosen to be closed: a peer that sends at the usual rate is
 * gone before one that has stalled. Times are in microseconds on a clock that never goes backwards.
 * Not thread-safe.
 *
 * @param <C> the type of the connections, compared by identity or equality
 */
public final class SharedBufferLimit<C> {
    private record IncompleteMessage(long bytes, long sinceUs) {
        /** Memory times time; both count, so that a small message is hardly ever chosen. */
        private double weight(long nowUs) {
            return (double) bytes * Math.max(1, nowUs - sinceUs);
        }
    }

    private final long maxBytes;
    private final Map<C, IncompleteMessage> incomplete = new LinkedHashMap<>();
    private long incompleteBytes;
    private long acceptedBytes;

    /**
     * Creates a limit with nothing held.
     *
     * @param maxBytes the maximum of all bytes together
     */
    public SharedBufferLimit(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates a limit that is a part of the heap. */
    public static <C> SharedBufferLimit<C> of(HeapShare share) {
        return new SharedBufferLimit<>(share.bytes());
    }

    /**
     * Records how many bytes a connection holds of an incomplete message; its age counts from the
     * first of them. None, or a negative number, ends the message.
     */
    public void setIncomplete(C connection, long bytes, long nowUs) {
        IncompleteMessage before =
                bytes > 0 ? incomplete.get(connection) : incomplete.remove(connection);
        if (before != null) {
            incompleteBytes -= before.bytes();
        }
        if (bytes > 0) {
            long sinceUs = before == null ? nowUs : before.sinceUs();
            incomplete.put(connection, new IncompleteMessage(bytes, sinceUs));
            incompleteBytes += bytes;
        }
    }

    /** Ends a connection's incomplete message. */
    public void removeIncomplete(C connection) {
        setIncomplete(connection, 0, 0);
    }

    /**
     * Accepts a complete message if all accepted ones stay within the maximum; the caller later
     * reports its end to {@link #release}.
     */
    public boolean tryAccept(long bytes) {
        if (acceptedBytes + bytes > maxBytes) {
            return false;
        }
        acceptedBytes += bytes;
        return true;
    }

    /** Ends an accepted message of this size. */
    public void release(long bytes) {
        acceptedBytes -= bytes;
    }

    /** Whether more bytes are held than the maximum. */
    public boolean isExceeded() {
        return heldBytes() > maxBytes;
    }

    /** Returns the number of bytes that are held. */
    public long heldBytes() {
        return incompleteBytes + acceptedBytes;
    }

    /**
     * Chooses the connections to close; the caller closes them and removes their messages.
     *
     * @return connections with incomplete messages in descending order of weight: none while the
     *     maximum is kept, and otherwise no more than needed
     */
    public List<C> chooseExcess(long nowUs) {
        if (!isExceeded()) {
            return List.of();
        }
        List<Map.Entry<C, IncompleteMessage>> heaviestFirst =
                new ArrayList<>(incomplete.entrySet());
        heaviestFirst.sort(
                Comparator.comparingDouble(
                                (Map.Entry<C, IncompleteMessage> entry) ->
                                        entry.getValue().weight(nowUs))
                        .reversed());
        List<C> chosen = new ArrayList<>();
        long remainingBytes = heldBytes();
        for (Map.Entry<C, IncompleteMessage> entry : heaviestFirst) {
            if (remainingBytes <= maxBytes) {
                break;
            }
            remainingBytes -= entry.getValue().bytes();
            chosen.add(entry.getKey());
        }
        return chosen;
    }
}
