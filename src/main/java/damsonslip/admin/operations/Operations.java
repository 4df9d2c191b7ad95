package damsonslip.admin.operations;

import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.Frontend;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.engine.Response.Kind;
import damsonslip.engine.SchedulerEngine;
import damsonslip.policy.api.WorkerState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The operators' commands and metrics. All methods are called on the event loop. */
public final class Operations {
    private static final Logger LOG = LoggerFactory.getLogger(Operations.class);

    /**
     * Applies changes of the worker overrides and stores them, so that they outlive the process.
     */
    public interface OverrideStore {
        /** Applies changes without storing them: they are lost when the process ends. */
        OverrideStore NONE =
                (change, stored, failed) -> {
                    change.run();
                    stored.run();
                };

        /**
         * Applies and stores the change. Calls {@code stored} or {@code failed} on the event loop,
         * at once or later.
         */
        void change(Runnable change, Runnable stored, Consumer<IOException> failed);
    }

    private final LifecyclePhase phase;
    private final Counters counters;
    private final Frontend front;
    private final OverrideStore overrides;

    /** Creates the commands for the scheduler behind this front. */
    public Operations(
            LifecyclePhase phase, Counters counters, Frontend front, OverrideStore overrides) {
        this.phase = phase;
        this.counters = counters;
        this.front = front;
        this.overrides = overrides;
    }

    /** Succeeds if the scheduler is serving; the message is its phase. */
    public OperationResult ready() {
        State state = phase.state();
        return new OperationResult(state == State.SERVING, state.name().toLowerCase(Locale.ROOT));
    }

    /**
     * Disables a worker: no further requests are sent to it until {@link #enable}; {@code done} is
     * called on the loop, at once or later.
     */
    public void disable(String id, Consumer<OperationResult> done) {
        change(id, front.engine()::disableWorker, id + " gets nothing new", done);
    }

    /**
     * Enables a disabled worker, which then warms up like one that has just started; {@code done}
     * is called on the loop, at once or later.
     */
    public void enable(String id, Consumer<OperationResult> done) {
        change(id, front.engine()::enableWorker, id + " is used again", done);
    }

    private void change(
            String id,
            Predicate<String> change,
            String successMessage,
            Consumer<OperationResult> done) {
        AtomicBoolean isListed = new AtomicBoolean();
        overrides.change(
                () -> isListed.set(change.test(id)),
                () -> done.accept(result(id, isListed.get(), successMessage)),
                error -> {
                    LOG.warn("event=overrides_not_stored error=\"{}\"", error.getMessage());
                    done.accept(
                            OperationResult.failure(
                                    "it cannot be kept for other processes; say it again"));
                });
    }

    private static OperationResult result(String id, boolean isListed, String successMessage) {
        if (!isListed) {
            return OperationResult.failure("no such worker: " + id);
        }
        LOG.info("operator: {}", successMessage);
        return OperationResult.success(successMessage);
    }

    /** Starts connection draining: clients' connections are closed while the process stays up. */
    public OperationResult drain() {
        if (phase.hasReached(State.LEAVING)) {
            return OperationResult.success("leaving already");
        }
        if (!front.drain()) {
            return OperationResult.failure("this front does not send its clients away");
        }
        return OperationResult.success("clients are sent away");
    }

    /** Ends connection draining. */
    public OperationResult undrain() {
        if (phase.hasReached(State.LEAVING)) {
            return OperationResult.failure("leaving");
        }
        front.undrain();
        return OperationResult.success("serving");
    }

    /** A snapshot of all metrics. */
    public List<Metric> metrics() {
        SchedulerEngine engine = front.engine();
        List<Metric> metrics = new ArrayList<>();
        for (int i = 0; i < engine.classCount(); i++) {
            String name = front.jobClassName(i);
            metrics.add(Metric.counter("success." + name, engine.responseCount(i, Kind.SERVED)));
            metrics.add(
                    Metric.counter("overload." + name, engine.responseCount(i, Kind.THROTTLED)));
            metrics.add(Metric.counter("error." + name, engine.responseCount(i, Kind.FAILED)));
        }
        metrics.add(Metric.counter("dispatches", counters.get(Count.EXECUTIONS_WRITTEN)));
        metrics.add(Metric.gauge("concurrent", engine.openRequestCount()));
        Set<String> listedIds = engine.listedWorkers();
        Map<String, WorkerState> states =
                engine.workerStates().stream()
                        .collect(Collectors.toMap(WorkerState::id, worker -> worker));
        metrics.add(Metric.gauge("targets", listedIds.size()));
        metrics.add(
                Metric.gauge(
                        "targets_disabled",
                        listedIds.stream()
                                .map(states::get)
                                .filter(
                                        worker ->
                                                worker != null
                                                        && (!worker.running() || worker.paused()))
                                .count()));
        metrics.add(Metric.counter("reload_success", counters.get(Count.RELOADS_DONE)));
        metrics.add(Metric.counter("reload_failure", counters.get(Count.RELOADS_REFUSED)));
        return metrics;
    }
}
