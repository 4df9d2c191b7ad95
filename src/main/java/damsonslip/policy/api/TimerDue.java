package damsonslip.policy.api;

/** A timer set by {@link SetTimer} is due. */
public record TimerDue(String label) implements Event {}
