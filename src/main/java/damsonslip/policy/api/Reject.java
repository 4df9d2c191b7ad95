package damsonslip.policy.api;

/**
 * Final answer: the job is rejected and may safely be retried.
 *
 * @param retryAfterUs time after which a retry makes sense
 */
public record Reject(String job, long retryAfterUs) implements Action {}
