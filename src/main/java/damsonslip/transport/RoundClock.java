package damsonslip.transport;

import java.util.function.LongSupplier;

/**
 * Counts the rounds of a selector, that is its select calls, and records when the last two started.
 * A socket that was watched in a round and not reported by it was empty at some moment after that
 * round started, so that any bytes found there later arrived after the start. The time at which a
 * round returned could not be used instead, since the thread may be suspended between the kernel's
 * check of the sockets and the return. Used on the selector's thread.
 */
final class RoundClock {
    private final LongSupplier nowUs;
    private long round;
    private long roundStartUs;
    private long previousRoundStartUs;

    /**
     * @param nowUs the event loop's clock, in microseconds
     */
    RoundClock(LongSupplier nowUs) {
        this.nowUs = nowUs;
        this.roundStartUs = nowUs.getAsLong();
        this.previousRoundStartUs = roundStartUs;
    }

    /** Records that the selector is about to make its next select call. */
    void startRound() {
        round++;
        previousRoundStartUs = roundStartUs;
        roundStartUs = nowUs.getAsLong();
    }

    /** Returns the number of the current round. */
    long round() {
        return round;
    }

    /** Returns the time from the start of the previous round to that of the current one. */
    long lastRoundUs() {
        return roundStartUs - previousRoundStartUs;
    }

    /** Returns the start of the previous round, in microseconds of the loop's clock. */
    long previousRoundStartUs() {
        return previousRoundStartUs;
    }
}
