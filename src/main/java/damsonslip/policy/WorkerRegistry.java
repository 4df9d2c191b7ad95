package damsonslip.policy;

import damsonslip.membership.StartTimes;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The known workers by id, kept up to date from worker lists. */
final class WorkerRegistry {
    /** A stopped worker is kept for this long, as it may come back. */
    private static final long RETENTION_US = 600_000_000;

    private final DecisionContext context;
    private final StartTimes startTimes = new StartTimes();
    private final TreeMap<String, Worker> workers = new TreeMap<>();

    WorkerRegistry(DecisionContext context) {
        this.context = context;
    }

    /** Returns the worker with this id, or null. */
    Worker find(String id) {
        return workers.get(id);
    }

    /** All known workers, in the order of their ids. */
    Collection<Worker> all() {
        return workers.values();
    }

    /** The running workers, in the order of their ids. */
    List<Worker> running() {
        return workers.values().stream().filter(Worker::isRunning).toList();
    }

    /**
     * Applies a worker list or changes to it; returns whether the set of running workers may have
     * changed.
     */
    boolean apply(WorkerListUpdate update) {
        WorkerListChange change = update.change();
        boolean changed = change.isComplete() && stopAll();
        long correctionUs = startTimes.correctionUs();
        boolean startsObserved = change.isFromDiscovery() && startTimes.observesStarts();
        for (WorkerEntry entry : update.workers()) {
            changed |= apply(entry, startsObserved);
        }
        startTimes.listReceived(change.isFromDiscovery(), context.nowUs());
        if (correctionUs != startTimes.correctionUs()) {
            correctStarts();
        }
        return changed;
    }

    private boolean stopAll() {
        boolean changed = false;
        for (Worker worker : workers.values()) {
            changed |= worker.isRunning();
            worker.recordStopped();
        }
        return changed;
    }

    private boolean apply(WorkerEntry entry, boolean startsObserved) {
        Worker worker = workers.computeIfAbsent(entry.id(), Worker::new);
        boolean wasRunning = worker.isRunning();
        long nowUs = context.nowUs();
        worker.update(entry, nowUs);
        long listedStart = entry.startedUs();
        if (worker.listedStart() != listedStart) {
            long startedUs =
                    startsObserved
                            ? startTimes.observedStartUs(listedStart, nowUs)
                            : startTimes.listedStartUs(listedStart, nowUs);
            worker.restarted(listedStart, startedUs, startsObserved);
        }
        return wasRunning != worker.isRunning();
    }

    private void correctStarts() {
        for (Worker worker : workers.values()) {
            if (!worker.isStartObserved()) {
                worker.correctStart(
                        startTimes.listedStartUs(worker.listedStart(), context.nowUs()));
            }
        }
    }

    /** Removes workers that stopped long ago and have no outstanding attempts. */
    void removeLongStopped(Consumer<Worker> onRemoval) {
        long nowUs = context.nowUs();
        for (Iterator<Worker> all = workers.values().iterator(); all.hasNext(); ) {
            Worker worker = all.next();
            if (worker.isRunning()) {
                worker.recordStillRunning(nowUs);
            } else if (worker.outstanding().isEmpty()
                    && nowUs - worker.lastRunningUs() > RETENTION_US) {
                all.remove();
                onRemoval.accept(worker);
            }
        }
    }
}
