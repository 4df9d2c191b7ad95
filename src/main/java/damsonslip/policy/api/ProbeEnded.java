package damsonslip.policy.api;

/** A probe has ended; {@code report} may be null. */
public record ProbeEnded(String worker, ProbeResult result, Report report) implements Event {}
