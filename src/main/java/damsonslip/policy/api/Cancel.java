package damsonslip.policy.api;

/** Cancel an attempt. */
public record Cancel(String job, int attempt) implements Action {}
