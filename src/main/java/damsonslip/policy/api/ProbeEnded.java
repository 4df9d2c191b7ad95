package damsonslip.policy.api;

/**
 * A probe has ended.
 *
 * @param report the load report in the answer, or null
 */
public record ProbeEnded(String worker, ProbeResult result, LoadReport report) implements Event {}
