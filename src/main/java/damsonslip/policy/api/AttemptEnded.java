package damsonslip.policy.api;

/**
 * An attempt has ended.
 *
 * @param attempt number of the attempt
 * @param jobAnswered whether this was also the final answer to the job
 * @param report the load report that came with the response, or null
 */
public record AttemptEnded(
        String job, int attempt, AttemptOutcome outcome, boolean jobAnswered, LoadReport report)
        implements Event {}
