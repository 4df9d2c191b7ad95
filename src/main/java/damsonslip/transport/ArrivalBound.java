package damsonslip.transport;

/**
 * The last moment at which a socket, or a listener's accept queue, was seen empty: what is read
 * from it now came later. If the process was suspended, that may be long ago, and the deadline of a
 * request that waits there is closer than the request says.
 *
 * <p>{@link #recordEmpty} and {@link #arrivedAfterUs} are thread-safe; the other methods are called
 * on the selector's thread.
 */
final class ArrivalBound {
    private static final long NEVER = Long.MAX_VALUE;

    private final RoundClock rounds;
    private volatile long emptyAtUs;
    private long watchedFromRound = NEVER;

    /** Creates a bound for a socket that was empty at this time. */
    ArrivalBound(RoundClock rounds, long emptyAtUs) {
        this.rounds = rounds;
        this.emptyAtUs = emptyAtUs;
    }

    /** Records that a read or an accept found nothing. */
    void recordEmpty(long nowUs) {
        emptyAtUs = Math.max(emptyAtUs, nowUs);
    }

    /** Records whether the selector watches the socket from the next round on. */
    void setWatched(boolean watched) {
        if (!watched) {
            watchedFromRound = NEVER;
        } else if (watchedFromRound == NEVER) {
            watchedFromRound = rounds.round() + 1;
        }
    }

    /**
     * Records that the current round has reported the socket: so the previous one, if it watched
     * the socket, found it empty.
     */
    void reported() {
        if (watchedFromRound < rounds.round()) {
            recordEmpty(rounds.previousRoundStartUs());
        }
    }

    /** Returns the time, in microseconds of the loop's clock, after which what is there came. */
    long arrivedAfterUs() {
        return emptyAtUs;
    }
}
