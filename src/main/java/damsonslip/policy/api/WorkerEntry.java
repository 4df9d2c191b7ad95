package damsonslip.policy.api;

/**
 * A worker as the list names it.
 *
 * @param startedUs when it last started, or {@link Long#MIN_VALUE} if long past
 */
public record WorkerEntry(
        String id, int zone, int cell, int kind, WorkerStatus status, long startedUs) {
    public WorkerEntry {
        Requirements.require(id != null, "a worker without an id");
        Requirements.require(kind >= 0, "kind of a worker: " + kind);
    }
}
