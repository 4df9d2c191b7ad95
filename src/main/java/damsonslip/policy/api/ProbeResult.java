package damsonslip.policy.api;

/** Result of a probe of a worker. The trace log contains the names of the constants. */
public enum ProbeResult {
    /** Answered with status 200: the worker accepts jobs. */
    HEALTHY,
    /**
     * Answered with status 200 over a connection that has been open since the last contact with
     * discovery, so the worker has not been restarted since.
     */
    HEALTHY_THROUGHOUT,
    /** Answered with another status: the worker is draining or has a fault. */
    UNHEALTHY,
    /** No connection could be opened, it broke, or no answer arrived in time. */
    UNREACHABLE,
    /** No connection has been open since the last contact with discovery, so no probe was sent. */
    NO_LASTING_CONNECTION,
    /** This scheduler had no connection available for the probe. */
    NOT_SENT;

    /** Returns whether the worker accepts jobs. */
    public boolean isHealthy() {
        return this == HEALTHY || this == HEALTHY_THROUGHOUT;
    }
}
