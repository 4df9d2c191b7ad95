package damsonslip.platform.client;

import java.util.ArrayDeque;

/**
 * When the bytes that wait to be read have come. Guards the deadlines of requests that are written
 * ahead: their clients' time runs from when they were sent, not from when the requests before them
 * were answered. Used on the loop.
 */
final class ArrivalTimes {
    /**
     * What comes within this time counts as come together: exact enough for any deadline, and few
     * entries.
     */
    private static final long TOGETHER_US = 10_000;

    /**
     * When something has come.
     *
     * @param earliestUs not before this: until then nothing was there to read
     * @param takenUs it counts as come then, by all that is tolerated
     */
    record Arrival(long earliestUs, long takenUs) {}

    private record Part(int bytes, Arrival at) {}

    private final ArrayDeque<Part> parts = new ArrayDeque<>();
    private int waiting;

    /** So many bytes wait now; those that are more than before have just come. */
    void waiting(int bytes, Arrival now) {
        int more = bytes - waiting;
        Part last = parts.peekLast();
        if (more > 0 && last != null && now.takenUs() - last.at().takenUs() < TOGETHER_US) {
            parts.pollLast();
            parts.addLast(new Part(last.bytes() + more, last.at()));
        } else if (more > 0) {
            parts.addLast(new Part(more, now));
        }
        waiting = bytes;
    }

    /** So many of them were read; gives when the last of these had come. */
    Arrival read(int bytes, Arrival now) {
        Arrival last = now;
        int left = bytes;
        while (left > 0 && !parts.isEmpty()) {
            Part part = parts.pollFirst();
            last = part.at();
            if (part.bytes() > left) {
                parts.addFirst(new Part(part.bytes() - left, part.at()));
            }
            left -= Math.min(left, part.bytes());
        }
        waiting -= bytes;
        return last;
    }
}
