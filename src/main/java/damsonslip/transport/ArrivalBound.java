package damsonslip.transport;

/**
 * The last time at which a socket, or a listener's accept queue, is known to have been empty. This
 * is a lower bound on the arrival of what is found there later. If the process was suspended, that
 * time may be long ago, and a request may have used up a part of its time limit while it waited
 * there.
 *
 * <p>{@link #recordEmpty} and {@link #arrivedAfterUs} are thread-safe; the other methods are called
 * on the selector's thread.
 */
final class ArrivalBound {
    private static final long NEVER = Long.MAX_VALUE;

    private final RoundClock rounds;
    private volatile long emptyAtUs;
    private long watchedFromRound = NEVER;

    /** Creates the bound of a socket that was empty at this time. */
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
     * Records that the current round has reported the socket. The previous round, if it watched the
     * socket, therefore found it empty.
     */
    void reported() {
        if (watchedFromRound < rounds.round()) {
            recordEmpty(rounds.previousRoundStartUs());
        }
    }

    /** Returns the lower bound on the arrival, in microseconds of the loop's clock. */
    long arrivedAfterUs() {
        return emptyAtUs;
    }
}
