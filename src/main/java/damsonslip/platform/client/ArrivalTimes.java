package damsonslip.platform.client;

import damsonslip.platform.codec.ArrivalTime;
import java.util.ArrayDeque;

/**
 * Records when the buffered bytes of a connection arrived. The time budget of a pipelined request
 * counts from its arrival, not from the response to the request before it. Used on the event loop
 * only.
 */
final class ArrivalTimes {
    /** Bytes that arrive within this time are recorded together. */
    private static final long RESOLUTION_US = 10_000;

    private record Segment(int bytes, ArrivalTime arrival) {}

    private final ArrayDeque<Segment> segments = new ArrayDeque<>();
    private int bufferedBytes;

    /** Records that this many bytes are buffered; the additional ones have arrived just now. */
    void buffered(int bytes, ArrivalTime now) {
        int added = bytes - bufferedBytes;
        if (added > 0) {
            append(added, now);
        }
        bufferedBytes = bytes;
    }

    private void append(int added, ArrivalTime now) {
        Segment last = segments.peekLast();
        if (last != null && now.countedUs() - last.arrival().countedUs() < RESOLUTION_US) {
            segments.pollLast();
            segments.addLast(new Segment(last.bytes() + added, last.arrival()));
        } else {
            segments.addLast(new Segment(added, now));
        }
    }

    /**
     * Records that this many bytes were consumed.
     *
     * @return when the last of them had arrived; now if there were none
     */
    ArrivalTime consumed(int bytes, ArrivalTime now) {
        ArrivalTime last = now;
        int left = bytes;
        while (left > 0 && !segments.isEmpty()) {
            Segment segment = segments.pollFirst();
            last = segment.arrival();
            if (segment.bytes() > left) {
                segments.addFirst(new Segment(segment.bytes() - left, segment.arrival()));
            }
            left -= Math.min(left, segment.bytes());
        }
        bufferedBytes -= bytes;
        return last;
    }
}
