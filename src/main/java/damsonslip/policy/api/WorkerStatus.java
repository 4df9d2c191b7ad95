package damsonslip.policy.api;

/** Status of a worker on the worker list. */
public enum WorkerStatus {
    /** Accepts jobs. */
    RUNNING,
    /** Finishes its jobs and accepts no new ones. */
    DRAINING,
    /** No longer exists. */
    REMOVED
}
