package damsonslip.engine;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A peer that reads or sends slowly, for display to operators.
 *
 * @param activity what it does slowly, such as {@code reads replies} or {@code sends a command}
 * @param peer a worker's id, or the address that the peer connects from
 * @param pendingBytes how many bytes are queued for it, or have arrived of its incomplete message
 * @param bytesPerSecond its progress in bytes per second
 * @param remainingUs how long until it is disconnected unless it makes progress, in microseconds
 */
public record SlowPeer(
        String activity, String peer, long pendingBytes, double bytesPerSecond, long remainingUs) {
    private static final int MAX_SHOWN = 20;

    /** Returns the peers that will be disconnected soonest, as many as fit on a screen. */
    public static List<SlowPeer> disconnectedSoonest(Stream<SlowPeer> peers) {
        return peers.sorted(Comparator.comparingLong(SlowPeer::remainingUs))
                .limit(MAX_SHOWN)
                .toList();
    }
}
