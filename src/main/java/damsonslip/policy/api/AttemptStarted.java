package damsonslip.policy.api;

/** An attempt's job has started. */
public record AttemptStarted(String job, int attempt) implements Event {}
