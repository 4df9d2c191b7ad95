package damsonslip.policy.api;

import java.util.List;

/**
 * The list of workers, or changes to it, or the end of a call or a watch; {@code heardUs} tells for
 * a watch that fell silent when it last said something, and for a list that was kept when the
 * process that begins with it was launched.
 */
public record WorkerListUpdate(
        WorkerListChange change, List<WorkerEntry> workers, long lastReceivedUs) implements Event {
    public WorkerListUpdate {
        workers = List.copyOf(workers);
    }

    public WorkerListUpdate(WorkerListChange mode, List<WorkerEntry> workers) {
        this(mode, workers, Long.MAX_VALUE);
    }
}
