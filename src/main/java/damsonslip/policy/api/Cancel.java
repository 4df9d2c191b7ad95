package damsonslip.policy.api;

/** Cancel an open attempt. */
public record Cancel(String job, int attempt) implements Action {}
