package damsonslip.transport;

/**
 * Exponential backoff of a listener after a failed accept: the system is out of descriptors or
 * memory, and would refuse the next one as well. No I/O and no clock; not thread-safe.
 */
final class AcceptBackoff {
    /** Where only single accepts fail, no client waits noticeably. */
    static final long INITIAL_DELAY_US = 1_000;

    /** 30 failed accepts a second take a fraction of a percent of a core. */
    static final long MAX_DELAY_US = 32_000;

    private long nextDelayUs = INITIAL_DELAY_US;

    /** Records a failed accept; returns the delay before the next one. */
    long failed() {
        long delayUs = nextDelayUs;
        nextDelayUs = Math.min(MAX_DELAY_US, 2 * nextDelayUs);
        return delayUs;
    }

    /** Records that an accept returned a connection, or found none. */
    void succeeded() {
        nextDelayUs = INITIAL_DELAY_US;
    }
}
