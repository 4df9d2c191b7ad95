package damsonslip.policy.api;

/** What happens if a job of a class runs twice. */
public enum Idempotency {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Workers that share the idempotency key drop a repeat within a window of time. */
    IDEMPOTENT_WITH_KEY,
    /** Must not run twice. */
    NOT_IDEMPOTENT
}
