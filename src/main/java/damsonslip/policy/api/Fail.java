package damsonslip.policy.api;

/** Final answer: the job has failed and may have run. */
public record Fail(String job) implements Action {}
