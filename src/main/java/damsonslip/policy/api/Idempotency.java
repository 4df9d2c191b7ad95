package damsonslip.policy.api;

/** What happens if a job of a class runs twice. */
public enum Idempotency {
    /** May run any number of times. */
    IDEMPOTENT,
    /**
     * May be repeated within a window of time by workers that share the idempotency key, which drop
     * repeats.
     */
    IDEMPOTENT_WITH_KEY,
    /** Must not run twice. */
    NOT_IDEMPOTENT
}
