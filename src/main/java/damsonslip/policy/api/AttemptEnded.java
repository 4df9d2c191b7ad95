package damsonslip.policy.api;

/** An attempt has ended; {@code closed} tells that the job has its final answer. */
public record AttemptEnded(
        String job, int attempt, AttemptOutcome outcome, boolean jobAnswered, LoadReport report)
        implements Event {}
