package damsonslip.transport;

import java.util.function.LongSupplier;

/**
 * Numbers a selector's rounds and remembers when the last two started. A socket that was watched in
 * a round and not reported by it was empty at some moment after that round started: whatever is
 * found there later has come after that. The time at which a round returned would not do, since the
 * thread may be suspended between the system's check and its own. Used on the selector's thread.
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

    /** Records that the selector is about to ask the system once more. */
    void startRound() {
        round++;
        previousRoundStartUs = roundStartUs;
        roundStartUs = nowUs.getAsLong();
    }

    /** Returns the number of the current round. */
    long round() {
        return round;
    }

    /** Returns how long the previous round took, up to the start of the current one. */
    long lastRoundUs() {
        return roundStartUs - previousRoundStartUs;
    }

    /** Returns when the previous round started, in microseconds of the loop's clock. */
    long previousRoundStartUs() {
        return previousRoundStartUs;
    }
}
