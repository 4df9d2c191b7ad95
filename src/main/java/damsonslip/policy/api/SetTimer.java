package damsonslip.policy.api;

/** Deliver {@link TimerDue} with this label at this time. */
public record SetTimer(long atUs, String label) implements Action {}
