package damsonslip.faktory.jobs;

/** The state of a batch's callback. The constants' names are stored. */
public enum CallbackState {
    /** Its condition is not met yet. */
    NOT_YET,
    /** To be pushed as a job, or pushed and not acknowledged yet. */
    DUE,
    /** Acknowledged by a worker, or not needed as the batch has none. */
    DONE
}
