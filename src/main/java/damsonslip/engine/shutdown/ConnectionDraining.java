package damsonslip.engine.shutdown;

/**
 * Connection draining: sends clients away without losing a request. A response with {@code
 * Connection: close} is safe, so a busy connection is closed by its response. An idle connection
 * has to be closed by the program, which may race with a request. Therefore idle connections are
 * kept for a settling time, in which new ones may still be opened; then those that have been idle
 * for a while are closed; and at last all that owe no response.
 *
 * <p>Immutable; all times are in microseconds, on the caller's clock.
 *
 * @param sinceUs when draining began
 * @param settleUs how long after the beginning idle connections are kept
 * @param minIdleUs how long a connection has to be idle to be closed after that
 * @param closeAllUs how long after the beginning all connections without an open request are
 *     closed, and a request that has not arrived completely is rejected
 */
public record ConnectionDraining(long sinceUs, long settleUs, long minIdleUs, long closeAllUs) {
    /** The front proxy checks every 0.1 s and opens new connections for 0.2 s more. */
    private static final long OPERATOR_SETTLE_US = 500_000;

    private static final long OPERATOR_MIN_IDLE_US = 300_000;

    /**
     * A request that is accepted later than 2 s after the command must not be open 4 s after it, so
     * this leaves a margin before the 2 s.
     */
    private static final long OPERATOR_CLOSE_ALL_US = 1_600_000;

    private static final long UPGRADE_SETTLE_US = 300_000;
    private static final long UPGRADE_MIN_IDLE_US = 700_000;

    /** Connections are closed this much before the old process stops to accept. */
    private static final long UPGRADE_MARGIN_US = 600_000;

    private static final long UPGRADE_MIN_CLOSE_ALL_US = 400_000;

    /** A client that connected at the last moment is about to send its request. */
    private static final long SHUTDOWN_MIN_IDLE_US = 150_000;

    private static final long SHUTDOWN_CLOSE_ALL_US = 300_000;

    /** What to do with a connection. */
    public enum Action {
        /** Leave it open. */
        KEEP,
        /** Close it. */
        CLOSE,
        /** Reject the request that has arrived in part, and close it. */
        REJECT
    }

    /** For an operator's {@code DRAIN}, which the process outlives. */
    public static ConnectionDraining forOperatorDrain(long nowUs) {
        return new ConnectionDraining(
                nowUs, OPERATOR_SETTLE_US, OPERATOR_MIN_IDLE_US, OPERATOR_CLOSE_ALL_US);
    }

    /**
     * For an upgrade whose new process already serves. Whatever is accepted must be answered before
     * the old process may be killed, and clients that reconnect reach the new one, so connections
     * are closed early.
     */
    public static ConnectionDraining forUpgrade(long nowUs, ShutdownTimes times) {
        long closeAllUs = Math.max(UPGRADE_MIN_CLOSE_ALL_US, times.acceptUs() - UPGRADE_MARGIN_US);
        return new ConnectionDraining(nowUs, UPGRADE_SETTLE_US, UPGRADE_MIN_IDLE_US, closeAllUs);
    }

    /**
     * For listeners that were closed some time after the signal: open connections have been asked
     * to close by their responses since.
     */
    public static ConnectionDraining forShutdown(long nowUs) {
        return new ConnectionDraining(nowUs, 0, SHUTDOWN_MIN_IDLE_US, SHUTDOWN_CLOSE_ALL_US);
    }

    /**
     * Decides what to do with a connection.
     *
     * @param busy whether a request on it awaits its response
     * @param partiallyRead whether a request has arrived in part
     * @param idleSinceUs when it was opened, or its last response was sent
     */
    public Action actionFor(long nowUs, boolean busy, boolean partiallyRead, long idleSinceUs) {
        if (busy || nowUs < sinceUs + settleUs) {
            return Action.KEEP;
        }
        boolean mustClose = nowUs >= sinceUs + closeAllUs;
        if (partiallyRead) {
            return mustClose ? Action.REJECT : Action.KEEP;
        }
        boolean isIdleLongEnough = nowUs >= idleSinceUs + minIdleUs;
        return mustClose || isIdleLongEnough ? Action.CLOSE : Action.KEEP;
    }
}
