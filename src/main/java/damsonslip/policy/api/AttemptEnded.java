package damsonslip.policy.api;

/** An attempt has ended; {@code closed} tells that the job has its final answer. */
public record AttemptEnded(String job, int attempt, Outcome outcome, boolean closed, Report report)
        implements Event {}
