package damsonslip.policy.api;

/** How a probe of a worker ended. */
public enum ProbeResult {
    /** Answered with 200: it takes work. */
    HEALTHY,
    /**
     * The same, over a connection that has stood since discovery was last heard: it has not been
     * started anew since.
     */
    HEALTHY_THROUGHOUT,
    /** Answered otherwise: it drains, or is in trouble. */
    UNHEALTHY,
    /** No connection came up, it broke, or no answer came in time. */
    UNREACHABLE,
    /** No connection has stood since discovery was last heard; none was probed. */
    NO_LASTING_CONNECTION,
    /** This scheduler had no connection to spare for it just now. */
    NOT_SENT;

    /** Whether the worker takes work. */
    public boolean isHealthy() {
        return this == HEALTHY || this == HEALTHY_THROUGHOUT;
    }
}
