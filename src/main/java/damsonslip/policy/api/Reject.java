package damsonslip.policy.api;

/** Final answer: turned away, trying again is harmless and makes sense after this long. */
public record Reject(String job, long retryAfterUs) implements Action {}
