package damsonslip.policy.api;

/** Status of a worker on the worker list. */
public enum WorkerStatus {
    /** Takes work. */
    RUNNING,
    /** Finishes its work and takes no more. */
    DRAINING,
    /** Is gone. */
    REMOVED
}
