package damsonslip.policy.api;

/** What a {@link WorkerListUpdate} contains: workers, or how a call or a watch ended. */
public enum WorkerListChange {
    /** Workers that have changed. */
    CHANGES,
    /** The complete list. */
    COMPLETE,
    /** The complete list that the previous process of this scheduler cached. */
    CACHED,
    /** Changes that an operator made at this scheduler. */
    OVERRIDES,
    /** A call failed or a watch broke. */
    FAILED,
    /** No connection to discovery could be opened. */
    UNREACHABLE,
    /** Nothing was received on the open watch for too long. */
    SILENT,
    /** This machine could not make the call. */
    NOT_CALLED;

    /** Returns whether workers that the update does not name have been removed. */
    public boolean isComplete() {
        return this == COMPLETE || this == CACHED;
    }

    /** Returns whether the update was received from discovery just now. */
    public boolean isFromDiscovery() {
        return this == CHANGES || this == COMPLETE;
    }

    /** Returns whether the update reports the end of a call or a watch instead of workers. */
    public boolean isFailure() {
        return switch (this) {
            case FAILED, UNREACHABLE, SILENT, NOT_CALLED -> true;
            case CHANGES, COMPLETE, CACHED, OVERRIDES -> false;
        };
    }
}
