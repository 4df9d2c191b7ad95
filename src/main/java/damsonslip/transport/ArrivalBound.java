package damsonslip.transport;

/**
 * The last moment at which a socket, or a listener's queue, was seen empty: what is read from it
 * now came later. Where the process was held up that may be long ago, and whoever waits there has
 * that much less time than it says.
 *
 * <p>{@link #seenEmpty} and {@link #arrivedAfterUs} are safe for several threads; the others belong
 * to the selector's.
 */
final class ArrivalBound {
    private static final long NEVER = Long.MAX_VALUE;

    private final RoundClock rounds;
    private volatile long emptyAtUs;
    private long watchedFrom = NEVER;

    /** Begins as seen empty at this time. */
    ArrivalBound(RoundClock rounds, long emptyAtUs) {
        this.rounds = rounds;
        this.emptyAtUs = emptyAtUs;
    }

    /** A read or an accept found nothing. */
    void seenEmpty(long nowUs) {
        emptyAtUs = Math.max(emptyAtUs, nowUs);
    }

    /** Whether the selector watches it from the next round on. */
    void watched(boolean so) {
        if (!so) {
            watchedFrom = NEVER;
        } else if (watchedFrom == NEVER) {
            watchedFrom = rounds.round() + 1;
        }
    }

    /**
     * The newest round has reported it: so the one before, if it was watched there, found it empty.
     */
    void reported() {
        if (watchedFrom < rounds.round()) {
            seenEmpty(rounds.beganBeforeUs());
        }
    }

    /** What is there to read now came after this time, in microseconds of the loop's clock. */
    long arrivedAfterUs() {
        return emptyAtUs;
    }
}
