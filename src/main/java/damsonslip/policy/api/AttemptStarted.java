package damsonslip.policy.api;

/** The worker has said that it started to run an attempt's job. */
public record AttemptStarted(String job, int attempt) implements Event {}
