package damsonslip.policy.api;

/** The worker has reported that it started to run the job of an attempt. */
public record AttemptStarted(String job, int attempt) implements Event {}
