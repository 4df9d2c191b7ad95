package damsonslip.transport.datarate;

/**
 * Enforces a minimum data rate on one direction of a connection, as a token bucket counted in
 * microseconds. The bucket initially holds the grace period, drains in real time, and is refilled
 * by the time that the transferred bytes would take at the minimum rate; the peer is too slow when
 * the bucket is empty. The capacity is bounded, so that a peer that was fast before may pause but
 * cannot hold a connection for long. Unlike a sliding window of byte counts, the bucket needs only
 * two numbers per connection, and a burst at exactly the minimum rate cannot fall between two
 * slots.
 *
 * <p>Not thread-safe; the caller passes the time, in microseconds.
 */
public final class MinimumDataRate {
    /**
     * The limits that a peer has to meet.
     *
     * @param graceUs how long it may initially transfer nothing, in microseconds; above 0
     * @param windowUs the bucket's capacity and so the longest pause, in microseconds; at least
     *     {@code graceUs}
     * @param bytesPerS the minimum rate in bytes per second; above 0
     */
    public record Limits(long graceUs, long windowUs, double bytesPerS) {
        /** Throws {@link IllegalArgumentException} if a limit is out of range. */
        public Limits {
            if (graceUs <= 0 || windowUs < graceUs || !(bytesPerS > 0)) {
                throw new IllegalArgumentException(
                        "data rate limits out of range: grace "
                                + graceUs
                                + " us, window "
                                + windowUs
                                + " us, rate "
                                + bytesPerS
                                + " bytes/s");
            }
        }

        /** The time that these bytes take at the minimum rate, in microseconds. */
        private long durationUs(long bytes) {
            return (long) (bytes / bytesPerS * 1e6);
        }
    }

    private final Limits limits;
    private boolean active;
    private long remainingUs;
    private long drainedAtUs;
    private long transferredBytes;
    private long startedUs;

    /** Creates an instance without a transfer in progress. */
    public MinimumDataRate(Limits limits) {
        this.limits = limits;
    }

    /** Starts a transfer; has no effect while one is in progress. */
    public void begin(long nowUs) {
        if (!active) {
            active = true;
            remainingUs = limits.graceUs();
            startedUs = nowUs;
            drainedAtUs = nowUs;
            transferredBytes = 0;
        }
    }

    /**
     * Starts a transfer whose progress cannot be observed, and credits the time that all of its
     * bytes take at the minimum rate in advance.
     */
    public void begin(long nowUs, long bytes) {
        begin(nowUs);
        remainingUs += limits.durationUs(bytes);
    }

    /** Records that bytes were transferred. */
    public void transferred(long nowUs, long bytes) {
        if (active) {
            drain(nowUs);
            transferredBytes += bytes;
            // an empty bucket stays empty: later bytes do not refill it
            if (remainingUs > 0) {
                remainingUs =
                        Math.min(
                                Math.max(limits.windowUs(), remainingUs),
                                remainingUs + limits.durationUs(bytes));
            }
        }
    }

    /** Ends the transfer. */
    public void end() {
        active = false;
    }

    /** Whether a transfer is in progress and its bucket is empty. */
    public boolean isTooSlow(long nowUs) {
        if (active) {
            drain(nowUs);
        }
        return active && remainingUs <= 0;
    }

    /** The mean rate since the transfer started, in bytes per second; 0 without a transfer. */
    public double bytesPerSecond(long nowUs) {
        return !active ? 0 : transferredBytes * 1e6 / Math.max(1, nowUs - startedUs);
    }

    /**
     * The time for which the peer may still pause, in microseconds; {@link Long#MAX_VALUE} if no
     * transfer is in progress.
     */
    public long remainingUs(long nowUs) {
        return active
                ? Math.max(0, remainingUs - Math.max(0, nowUs - drainedAtUs))
                : Long.MAX_VALUE;
    }

    /** Drains the bucket by the elapsed time; does nothing if the clock has stepped back. */
    private void drain(long nowUs) {
        remainingUs -= Math.max(0, nowUs - drainedAtUs);
        drainedAtUs = nowUs;
    }
}
