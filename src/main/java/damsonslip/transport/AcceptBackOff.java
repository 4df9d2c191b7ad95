package damsonslip.transport;

/**
 * How long a listener rests after an accept that failed: the system is out of descriptors or
 * memory, and would refuse the next one as well. Doubles with each failure in a row. No I/O, no
 * clock; not safe for use by several threads.
 */
final class AcceptBackOff {
    /** The shortest rest: where only single accepts fail, nobody who connects waits noticeably. */
    static final long FIRST_US = 1_000;

    /** The longest rest: 30 failing accepts a second cost a fraction of a percent of a core. */
    static final long LONGEST_US = 32_000;

    private long nextUs = FIRST_US;

    /** An accept has failed; gives the time to rest. */
    long failed() {
        long rest = nextUs;
        nextUs = Math.min(LONGEST_US, 2 * nextUs);
        return rest;
    }

    /** An accept has gone well, or found nobody. */
    void succeeded() {
        nextUs = FIRST_US;
    }
}
