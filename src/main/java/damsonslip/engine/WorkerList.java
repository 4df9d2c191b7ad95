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
 * The worker list as the scheduling policy sees it: discovery's list with the operators' overrides
 * applied. Reports every change to the policy.
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
     * @param eventSink receives events for the policy
     */
    WorkerList(EventLoop loop, Counters counters, RequestTrace trace, Consumer<Event> eventSink) {
        this.loop = loop;
        this.counters = counters;
        this.trace = trace;
        this.eventSink = eventSink;
    }

    /** Whether a list was loaded, so that the policy can make decisions. */
    boolean isLoaded() {
        return isLoaded;
    }

    /** Loads the list that an earlier process cached. */
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
     * Records that a call to discovery has failed or that the watch on it has ended.
     *
     * @param lastReadUs when data from discovery was last read
     */
    void updateFailed(WorkerListChange failure, long lastReadUs) {
        counters.add(Count.LIST_FAILURES);
        trace.workerListChanged(failure, List.of());
        eventSink.accept(new WorkerListUpdate(failure, List.of(), lastReadUs));
    }

    /** Returns the zone and cell of a worker; both are 0 if it was never listed. */
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

    /** Reports changed entries; overrides that precede the first list are applied on loading it. */
    private void publish(List<WorkerEntry> changed) {
        if (!changed.isEmpty() && isLoaded) {
            eventSink.accept(new WorkerListUpdate(WorkerListChange.OVERRIDES, changed));
        }
    }
}
