package damsonslip.policy.api;

/** Write a line to the scheduler's log. */
public record Log(String text) implements Action {}
