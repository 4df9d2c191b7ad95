package damsonslip.engine;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A peer that something is due from, for people to read.
 *
 * @param what what it is at: reading an answer, taking a request, sending a command
 * @param peer who it is: a worker's id, or where it connects from
 * @param waiting bytes that wait for it, or that it has sent of what it has begun
 * @param rate bytes a second of progress
 * @param leftUs how long it may go on like this without any progress
 */
public record SlowPeer(String what, String peer, long waiting, double rate, long leftUs) {
    /** So many fit on a screen. */
    private static final int SHOWN = 20;

    /** The next to be let go first. */
    public static List<SlowPeer> slowest(Stream<SlowPeer> all) {
        return all.sorted(Comparator.comparingLong(SlowPeer::leftUs)).limit(SHOWN).toList();
    }
}
