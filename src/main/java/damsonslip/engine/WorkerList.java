package damsonslip.engine;

import damsonslip.engine.Counters.Count;
import damsonslip.engine.invariants.RetryGuard.WorkerLocation;
import damsonslip.membership.overrides.WorkerOverrides;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The worker list as the decision module sees it: discovery's list with the operators' overrides
 * applied. Passes every change on to the module.
 *
 * <p>Used on the {@link EventLoop} only.
 */
final class WorkerList {
    private final EventLoop loop;
    private final Counters counters;
    private final RequestTrace trace;
    private final Consumer<Event> eventSink;
    private final WorkerOverrides overrides = new WorkerOverrides();
    private boolean isLoaded;

    /**
     * Creates an empty list.
     *
     * @param eventSink receives events for the decision module
     */
    WorkerList(EventLoop loop, Counters counters, RequestTrace trace, Consumer<Event> eventSink) {
        this.loop = loop;
        this.counters = counters;
        this.trace = trace;
        this.eventSink = eventSink;
    }

    /** Whether a list was loaded, so that the module can decide. */
    boolean isLoaded() {
        return isLoaded;
    }

    /** Loads the list that an earlier process has cached. */
    void load(List<WorkerEntry> cached) {
        isLoaded = true;
        trace.workerListChanged(WorkerListChange.CACHED, cached);
        eventSink.accept(
                new WorkerListUpdate(
                        WorkerListChange.CACHED,
                        overrides.apply(WorkerListChange.CACHED, cached, loop.nowUs()),
                        loop.startedUs()));
    }

    /** Applies a list, or changes to it, from discovery. */
    void update(WorkerListChange change, List<WorkerEntry> workers) {
        counters.add(Count.LIST_UPDATES);
        trace.workerListChanged(change, workers);
        eventSink.accept(
                new WorkerListUpdate(change, overrides.apply(change, workers, loop.nowUs())));
    }

    /**
     * Records that a call to discovery or the watch on it has ended.
     *
     * @param lastReadUs when something was last read from discovery
     */
    void updateFailed(WorkerListChange failure, long lastReadUs) {
        counters.add(Count.LIST_FAILURES);
        trace.workerListChanged(failure, List.of());
        eventSink.accept(new WorkerListUpdate(failure, List.of(), lastReadUs));
    }

    /** Returns the zone and cell of a worker, zeros if no list has named it. */
    WorkerLocation locate(String worker) {
        WorkerEntry listed = overrides.listed(worker);
        return listed == null
                ? new WorkerLocation(worker, 0, 0)
                : new WorkerLocation(worker, listed.zone(), listed.cell());
    }

    Set<String> listedWorkers() {
        return overrides.listedWorkers();
    }

    /** Disables a worker; returns false without any effect if no list has named it. */
    boolean disable(String worker) {
        if (!overrides.isKnown(worker)) {
            return false;
        }
        publish(overrides.disable(worker));
        return true;
    }

    /** Enables a worker again; returns false without any effect if no list has named it. */
    boolean enable(String worker) {
        if (!overrides.isKnown(worker)) {
            return false;
        }
        publish(overrides.enable(worker, loop.nowUs()));
        return true;
    }

    boolean isDisabled(String worker) {
        return overrides.isDisabled(worker);
    }

    String overridesText() {
        return overrides.serialize(loop.nowUs());
    }

    void restoreOverrides(String text) throws WorkerOverrides.MalformedException {
        publish(overrides.restore(text));
    }

    /** Overrides that are known before the first list are applied when it is loaded. */
    private void publish(List<WorkerEntry> changed) {
        if (!changed.isEmpty() && isLoaded) {
            eventSink.accept(new WorkerListUpdate(WorkerListChange.OVERRIDES, changed));
        }
    }
}
