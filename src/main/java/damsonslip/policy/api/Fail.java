package damsonslip.policy.api;

/** Final answer: failed, with no promise. */
public record Fail(String job) implements Action {}
