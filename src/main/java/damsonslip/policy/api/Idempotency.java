package damsonslip.policy.api;

/** What a repeat of a job does. */
public enum Idempotency {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Repeats are dropped within a group of workers and a window of time. */
    IDEMPOTENT_WITH_KEY,
    /** Must not run twice. */
    NOT_IDEMPOTENT
}
