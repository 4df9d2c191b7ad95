package damsonslip.transport.datarate;

/**
 * Enforces a minimum data rate on one direction of a connection, as a token bucket counted in
 * microseconds. The bucket opens with a grace period, drains in real time, and refills by the time
 * that the transferred bytes take at the minimum rate; the peer is too slow when it is empty. Its
 * capacity is bounded, so that a peer that was fast once may pause but cannot hold a connection for
 * long. Compared with a sliding window of byte counts it needs two numbers for each connection, and
 * a burst at exactly the minimum rate cannot fall between two slots.
 *
 * <p>Not thread-safe; the caller passes the time, in microseconds.
 */
public final class MinimumDataRate {
    /**
     * The requirements on a peer.
     *
     * @param graceUs how long it may transfer nothing at first, in microseconds; above 0
     * @param windowUs the bucket's capacity and so the longest pause, in microseconds; at least
     *     {@code graceUs}
     * @param bytesPerS the minimum rate in bytes a second; above 0
     */
    public record Limits(long graceUs, long windowUs, double bytesPerS) {
        /**
         * Checks the ranges; throws {@link IllegalArgumentException} if a limit is outside of its
         * range.
         */
        public Limits {
            if (graceUs <= 0 || windowUs < graceUs || !(bytesPerS > 0)) {
                throw new IllegalArgumentException(
                        "grace, window or rate: " + graceUs + " " + windowUs + " " + bytesPerS);
            }
        }

        /** How long so many bytes take at the minimum rate, in microseconds. */
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

    /** Creates a rate without a transfer under way. */
    public MinimumDataRate(Limits limits) {
        this.limits = limits;
    }

    /** Starts a transfer; has no effect while one is under way. */
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
     * Starts a transfer of so many bytes whose progress cannot be observed, and so grants their
     * whole time at once.
     */
    public void begin(long nowUs, long bytes) {
        begin(nowUs);
        remainingUs += limits.durationUs(bytes);
    }

    /** Records that so many bytes were transferred. */
    public void transferred(long nowUs, long bytes) {
        if (active) {
            drain(nowUs);
            transferredBytes += bytes;
            // an empty bucket stays empty: bytes that come after it ran out do not refill it
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

    /** Whether a transfer is under way and its bucket has run empty. */
    public boolean isTooSlow(long nowUs) {
        if (active) {
            drain(nowUs);
        }
        return active && remainingUs <= 0;
    }

    /** The mean rate since the transfer started, in bytes a second; 0 if none is under way. */
    public double bytesPerSecond(long nowUs) {
        return !active ? 0 : transferredBytes * 1e6 / Math.max(1, nowUs - startedUs);
    }

    /**
     * How long the peer may still pause, in microseconds; {@link Long#MAX_VALUE} if no transfer is
     * under way.
     */
    public long remainingUs(long nowUs) {
        return active
                ? Math.max(0, remainingUs - Math.max(0, nowUs - drainedAtUs))
                : Long.MAX_VALUE;
    }

    /** Drains the bucket by the time that has passed; a clock that steps back drains nothing. */
    private void drain(long nowUs) {
        remainingUs -= Math.max(0, nowUs - drainedAtUs);
        drainedAtUs = nowUs;
    }
}
