package damsonslip.transport;

/**
 * Exponential backoff of a listener after a failed accept: there are no free descriptors or memory,
 * and an immediate retry would fail as well. No I/O and no clock; not thread-safe.
 */
final class AcceptBackoff {
    /** Short enough that no client waits noticeably if only single accepts fail. */
    static final long INITIAL_DELAY_US = 1_000;

    /** About 30 failed accepts a second use a fraction of a percent of a CPU core. */
    static final long MAX_DELAY_US = 32_000;

    private long nextDelayUs = INITIAL_DELAY_US;

    /** Records a failed accept; returns the delay before the next one. */
    long failed() {
        long delayUs = nextDelayUs;
        nextDelayUs = Math.min(MAX_DELAY_US, 2 * nextDelayUs);
        return delayUs;
    }

    /** Resets the delay: an accept returned a connection, or none was queued. */
    void succeeded() {
        nextDelayUs = INITIAL_DELAY_US;
    }
}
