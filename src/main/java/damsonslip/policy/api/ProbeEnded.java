package damsonslip.policy.api;

/** A probe has ended; {@code report} may be null. */
public record ProbeEnded(String worker, ProbeResult result, LoadReport report) implements Event {}
