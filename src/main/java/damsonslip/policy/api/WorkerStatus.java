package damsonslip.policy.api;

/** What the list of workers says about one of them. */
public enum WorkerStatus {
    RUNNING,
    DRAINING,
    REMOVED
}
