package damsonslip.transport;

import java.util.function.LongSupplier;

/**
 * Numbers a selector's rounds and remembers when the last two began. A socket that was watched in a
 * round and not reported by it was empty at some moment after that round began: whatever is found
 * there later has come after that. The time at which a round returned would not do, since the
 * thread may be held up between the system's look and its own. Used on the selector's thread.
 */
final class RoundClock {
    private final LongSupplier nowUs;
    private long round;
    private long beganUs;
    private long beganBeforeUs;

    RoundClock(LongSupplier nowUs) {
        this.nowUs = nowUs;
        this.beganUs = nowUs.getAsLong();
        this.beganBeforeUs = beganUs;
    }

    /** The system is asked once more. */
    void begins() {
        round++;
        beganBeforeUs = beganUs;
        beganUs = nowUs.getAsLong();
    }

    /** The number of the newest round. */
    long round() {
        return round;
    }

    /** How long it took from the begin of the round before to that of the newest one. */
    long lastTookUs() {
        return beganUs - beganBeforeUs;
    }

    /** When the round before the newest one began, in microseconds of the loop's clock. */
    long beganBeforeUs() {
        return beganBeforeUs;
    }
}
