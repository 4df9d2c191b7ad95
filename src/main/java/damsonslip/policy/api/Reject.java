package damsonslip.policy.api;

/**
 * Final answer: the job is rejected and may be retried without risk.
 *
 * @param retryAfterUs time after which a retry makes sense
 */
public record Reject(String job, long retryAfterUs) implements Action {}
