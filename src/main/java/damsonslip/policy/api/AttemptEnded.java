package damsonslip.policy.api;

/**
 * An attempt has ended.
 *
 * @param attempt number of the attempt
 * @param jobAnswered whether the job has its final answer by it
 * @param report the load report that came with the response, or null
 */
public record AttemptEnded(
        String job, int attempt, AttemptOutcome outcome, boolean jobAnswered, LoadReport report)
        implements Event {}
