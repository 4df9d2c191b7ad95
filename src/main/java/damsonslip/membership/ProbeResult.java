package damsonslip.membership;

/** How a probe of a worker ended. */
public enum ProbeResult {
    /** Answered with 200: it takes work. */
    HEALTHY,
    /** Answered otherwise: it drains, or is in trouble. */
    UNHEALTHY,
    /** No connection came up, it broke, or no answer came in time. */
    UNREACHABLE,
    /** This scheduler had no connection for it. */
    NOT_SENT
}
