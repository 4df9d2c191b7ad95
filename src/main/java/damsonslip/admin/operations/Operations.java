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
     * Applies a change of the worker overrides and, where there is a store, makes it outlive the
     * process.
     */
    public interface OverrideStore {
        /** Keeps nothing beyond the process. */
        OverrideStore NONE =
                (change, kept, failed) -> {
                    change.run();
                    kept.run();
                };

        /**
         * Applies the change and tells on the event loop, then or later, that it is kept or that it
         * could not be.
         */
        void change(Runnable change, Runnable kept, Consumer<IOException> failed);
    }

    private final LifecyclePhase phase;
    private final Counters counters;
    private final Frontend front;
    private final OverrideStore overrides;

    public Operations(
            LifecyclePhase phase, Counters counters, Frontend front, OverrideStore overrides) {
        this.phase = phase;
        this.counters = counters;
        this.front = front;
        this.overrides = overrides;
    }

    /** Whether the scheduler serves, and its phase. */
    public OperationResult ready() {
        State state = phase.state();
        return new OperationResult(state == State.SERVING, state.name().toLowerCase(Locale.ROOT));
    }

    /**
     * Disables a worker: no further requests are sent to it until {@link #enable}; tells on the
     * loop, then or later.
     */
    public void disable(String id, Consumer<OperationResult> done) {
        change(id, front.driver()::disable, id + " gets nothing new", done);
    }

    /**
     * Enables a disabled worker, which is treated as one that has just started; tells on the loop,
     * then or later.
     */
    public void enable(String id, Consumer<OperationResult> done) {
        change(id, front.driver()::enable, id + " is used again", done);
    }

    private void change(
            String id, Predicate<String> change, String changed, Consumer<OperationResult> done) {
        AtomicBoolean isKnown = new AtomicBoolean();
        overrides.change(
                () -> isKnown.set(change.test(id)),
                () -> done.accept(kept(id, isKnown.get(), changed)),
                error -> {
                    LOG.warn("the bans cannot be kept: {}", error.getMessage());
                    done.accept(
                            OperationResult.failure(
                                    "it cannot be kept for other processes; say it again"));
                });
    }

    private static OperationResult kept(String id, boolean isKnown, String changed) {
        if (!isKnown) {
            return OperationResult.failure("no such worker: " + id);
        }
        LOG.info("operator: {}", changed);
        return OperationResult.success(changed);
    }

    /** Starts connection draining: clients are sent away while the process stays up. */
    public OperationResult drain() {
        if (phase.atLeast(State.LEAVING)) {
            return OperationResult.success("leaving already");
        }
        if (!front.drain()) {
            return OperationResult.failure("this front does not send its clients away");
        }
        return OperationResult.success("clients are sent away");
    }

    /** Ends connection draining. */
    public OperationResult undrain() {
        if (phase.atLeast(State.LEAVING)) {
            return OperationResult.failure("leaving");
        }
        front.undrain();
        return OperationResult.success("serving");
    }

    /** A snapshot of all metrics. */
    public List<Metric> metrics() {
        SchedulerEngine driver = front.driver();
        List<Metric> metrics = new ArrayList<>();
        for (int i = 0; i < driver.classes(); i++) {
            String name = front.className(i);
            metrics.add(Metric.counter("success." + name, driver.answers(i, Kind.SERVED)));
            metrics.add(Metric.counter("overload." + name, driver.answers(i, Kind.THROTTLED)));
            metrics.add(Metric.counter("error." + name, driver.answers(i, Kind.FAILED)));
        }
        metrics.add(Metric.counter("dispatches", counters.get(Count.EXECUTIONS_WRITTEN)));
        metrics.add(Metric.gauge("concurrent", driver.open()));
        Set<String> targets = driver.targets();
        Map<String, WorkerState> states =
                driver.workers().stream()
                        .collect(Collectors.toMap(WorkerState::id, worker -> worker));
        metrics.add(Metric.gauge("targets", targets.size()));
        metrics.add(
                Metric.gauge(
                        "targets_disabled",
                        targets.stream()
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
