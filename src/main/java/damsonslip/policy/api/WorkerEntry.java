package damsonslip.policy.api;

/**
 * An entry of the worker list.
 *
 * @param cell the group that shares idempotency keys of {@link IdempotencyScope#CELL}
 * @param kind index of its kind, from 0
 * @param startedUs when it last started, or {@link Long#MIN_VALUE} if that was long ago
 */
public record WorkerEntry(
        String id, int zone, int cell, int kind, WorkerStatus status, long startedUs) {
    /** Checks the ranges. */
    public WorkerEntry {
        Requirements.require(id != null, "a worker without an id");
        Requirements.require(kind >= 0, "negative kind of a worker: " + kind);
    }
}
