package damsonslip.engine.shutdown;

/**
 * Connection draining: sending clients away without losing a request. A response with {@code
 * Connection: close} is safe, so a busy connection is left to that. An idle connection has to be
 * closed, which may race with a request, so idle connections are closed only after a settling time
 * in which new ones may still come, the longest idle first; after a last moment all of them are
 * closed once they owe no response.
 *
 * <p>Immutable; all times are in microseconds, on the caller's clock.
 *
 * @param sinceUs when draining began
 * @param settleUs how long idle connections are kept at first
 * @param quietUs how long a connection has to be idle to be closed after that
 * @param lastUs how long after the beginning all connections without an open request are closed,
 *     and a request that has not come whole is rejected
 */
public record ConnectionDraining(long sinceUs, long settleUs, long quietUs, long lastUs) {
    /** What to do with a connection. */
    public enum Action {
        /** Leave it open. */
        KEEP,
        /** Close it. */
        CLOSE,
        /** Reject the request that has partly come, and close it. */
        REJECT
    }

    /**
     * For an operator's {@code DRAIN}. The front proxy checks every 0.1 s and opens new connections
     * for 0.2 s more. A request that is accepted later than 2 s after the command must not be open
     * 4 s after it, so the last moment leaves a margin before that.
     */
    public static ConnectionDraining forOperatorDrain(long nowUs) {
        return new ConnectionDraining(nowUs, 500_000, 300_000, 1_600_000);
    }

    /**
     * For an upgrade whose new process serves already. Whatever is accepted must be answered before
     * the process may be killed, and clients that reconnect reach the new process, so connections
     * are closed early.
     */
    public static ConnectionDraining forUpgrade(long nowUs, ShutdownTimes times) {
        return new ConnectionDraining(
                nowUs, 300_000, 700_000, Math.max(400_000, times.acceptUs() - 600_000));
    }

    /**
     * For a listener that was closed some time after the signal to end: kept connections have been
     * told to close, and a client that connected at the last moment is about to send its request.
     */
    public static ConnectionDraining forShutdown(long nowUs) {
        return new ConnectionDraining(nowUs, 0, 150_000, 300_000);
    }

    /**
     * Decides on one connection.
     *
     * @param busy whether a request on it awaits its response
     * @param midway whether a request has partly come
     * @param idleSinceUs when it was opened, or its last response was sent
     */
    public Action actionFor(long nowUs, boolean busy, boolean midway, long idleSinceUs) {
        boolean last = nowUs >= sinceUs + lastUs;
        if (busy || nowUs < sinceUs + settleUs) {
            return Action.KEEP;
        }
        if (midway) {
            return last ? Action.REJECT : Action.KEEP;
        }
        return last || nowUs >= idleSinceUs + quietUs ? Action.CLOSE : Action.KEEP;
    }
}
