package damsonslip.policy.api;

/** Result of a probe of a worker. */
public enum ProbeResult {
    /** Answered with 200: the worker takes work. */
    HEALTHY,
    /**
     * The same over a connection that has lasted since discovery was last heard: the worker has not
     * been restarted since.
     */
    HEALTHY_THROUGHOUT,
    /** Answered otherwise: the worker drains or has a fault. */
    UNHEALTHY,
    /** No connection came up, it broke, or no answer came in time. */
    UNREACHABLE,
    /** No connection has lasted since discovery was last heard, so nothing was sent. */
    NO_LASTING_CONNECTION,
    /** This scheduler had no connection to spare for it. */
    NOT_SENT;

    /** Returns whether the worker takes work. */
    public boolean isHealthy() {
        return this == HEALTHY || this == HEALTHY_THROUGHOUT;
    }
}
