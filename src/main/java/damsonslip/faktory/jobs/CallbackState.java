package damsonslip.faktory.jobs;

/** The state of a callback of a batch. Stored under the names of the constants. */
public enum CallbackState {
    /** Its condition is not met yet. */
    NOT_YET,
    /** To be pushed as a job, or pushed but not yet acknowledged by a worker. */
    DUE,
    /** Acknowledged by a worker, or its condition was met and the batch has no such callback. */
    DONE
}
