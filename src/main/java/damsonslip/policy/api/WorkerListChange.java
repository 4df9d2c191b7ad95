package damsonslip.policy.api;

/** What a list update holds: workers, or the way in which a call or a watch ended. */
public enum WorkerListChange {
    /** Workers that have changed. */
    CHANGES,
    /** The complete list. */
    COMPLETE,
    /** The list that was cached over a restart. */
    KEPT,
    /** Changes that an operator made at this scheduler. */
    OVERRIDES,
    /** A call failed or a watch broke. */
    FAILED,
    /** No connection to discovery came up. */
    UNREACHABLE,
    /** An open watch fell silent. */
    SILENT,
    /** This machine could not make the call. */
    NOT_CALLED;

    /** Whether a worker that the update does not name has been removed. */
    public boolean isComplete() {
        return this == COMPLETE || this == KEPT;
    }

    /** Whether the update was received from discovery just now. */
    public boolean isFromDiscovery() {
        return this == CHANGES || this == COMPLETE;
    }

    /** Whether the update reports the end of a call or a watch instead of workers. */
    public boolean isFailure() {
        return switch (this) {
            case FAILED, UNREACHABLE, SILENT, NOT_CALLED -> true;
            case CHANGES, COMPLETE, KEPT, OVERRIDES -> false;
        };
    }
}
