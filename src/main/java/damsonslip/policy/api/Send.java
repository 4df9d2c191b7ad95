package damsonslip.policy.api;

/** Start an attempt; a job's attempts are numbered from 0 in this order. */
public record Send(String job, String worker, long timeoutUs) implements Action {}
