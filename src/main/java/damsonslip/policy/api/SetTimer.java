package damsonslip.policy.api;

/** Wake this dispatcher with {@link TimerDue} at this time. */
public record SetTimer(long atUs, String label) implements Action {}
