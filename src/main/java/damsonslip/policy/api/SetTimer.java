package damsonslip.policy.api;

/**
 * Requests a {@link TimerDue} event with this label at a time.
 *
 * @param job the job that the timer is for, whose final answer makes it superfluous; null if it is
 *     for none
 */
public record SetTimer(long atUs, String label, String job) implements Action {}
