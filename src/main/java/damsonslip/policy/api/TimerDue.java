package damsonslip.policy.api;

/** A timer of this dispatcher's is due. */
public record TimerDue(String label) implements Event {}
