package damsonslip.policy.api;

/** Call an attempt off. */
public record Cancel(String job, int attempt) implements Action {}
