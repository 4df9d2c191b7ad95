package damsonslip.policy.api;

/** What a repeat of a job does. */
public enum Effect {
    /** May run any number of times. */
    SAFE,
    /** Repeats are dropped within a group of workers and a window of time. */
    KEYED,
    /** Must not run twice. */
    UNSAFE
}
