package damsonslip.policy.api;

/**
 * A probe has ended.
 *
 * @param report the load report that it brought, or null
 */
public record ProbeEnded(String worker, ProbeResult result, LoadReport report) implements Event {}
