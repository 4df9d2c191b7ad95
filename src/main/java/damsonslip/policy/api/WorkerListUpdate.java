package damsonslip.policy.api;

import java.util.List;

/**
 * The worker list, or changes to it, or the end of a call or a watch.
 *
 * @param lastReceivedUs for {@link WorkerListChange#SILENT}, when something was last received on
 *     the watch; for {@link WorkerListChange#CACHED}, when the process that starts with this list
 *     was launched; else {@link Long#MAX_VALUE}
 */
public record WorkerListUpdate(
        WorkerListChange change, List<WorkerEntry> workers, long lastReceivedUs) implements Event {
    /** Copies the list. */
    public WorkerListUpdate {
        workers = List.copyOf(workers);
    }

    /** Creates an update whose times do not matter. */
    public WorkerListUpdate(WorkerListChange change, List<WorkerEntry> workers) {
        this(change, workers, Long.MAX_VALUE);
    }
}
