package damsonslip.policy.api;

/**
 * A worker as the list names it.
 *
 * @param startedUs when it last started, or {@link Long#MIN_VALUE} if long past
 */
public record Worker(String id, int zone, int cell, int kind, Status status, long startedUs) {
    public Worker {
        Requirements.require(id != null, "a worker without an id");
        Requirements.require(kind >= 0, "kind of a worker: " + kind);
    }
}
