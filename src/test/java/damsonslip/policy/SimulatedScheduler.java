package damsonslip.policy;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.AttemptStarted;
import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.LoadReporting;
import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.ProbeWorker;
import damsonslip.policy.api.SchedulersChanged;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.SetTimer;
import damsonslip.policy.api.TimerDue;
import damsonslip.policy.api.WatchWorkerList;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/** A scheduler of the fleet: its policy, and the execution of its actions. */
final class SimulatedScheduler {
    /** Work that a new connection or a probe costs a worker. */
    private static final double HANDSHAKE_US = 3_000;

    private static final long NETWORK_US = 1_000;
    private static final long DELAYED_START_US = 1_000_000;

    private final SlowStartFleet fleet;
    final int number;
    SchedulingPolicy policy;
    int incarnation;
    List<WorkerEntry> workerList = List.of();
    final Map<String, Long> knownStarts = new HashMap<>();
    final Map<String, SentJob> jobs = new HashMap<>();
    final Set<String> connected = new HashSet<>();

    SimulatedScheduler(SlowStartFleet fleet, int number) {
        this.fleet = fleet;
        this.number = number;
    }

    /** Starts a new process, which knows the cached list alone. */
    void start() {
        incarnation++;
        policy = new SchedulingPolicy(fleet.site.settings(number), fleet.random.nextLong());
        jobs.clear();
        connected.clear();
        list(WorkerListChange.CACHED, workerList);
    }

    void list(WorkerListChange change, List<WorkerEntry> list) {
        workerList = list;
        list.forEach(w -> knownStarts.put(w.id(), w.startedUs()));
        handle(new WorkerListUpdate(change, list));
    }

    /** Counts from now on as one of so many processes of its scheduler. */
    void divide(int processes, int index) {
        handle(
                new SchedulersChanged(
                        fleet.site.schedulers() * processes, number * processes + index));
    }

    void handle(Event event) {
        List<Action> actions = new ArrayList<>();
        policy.handle(fleet.now(), event, actions);
        actions.forEach(this::act);
    }

    private void later(long inUs, Event event) {
        int sender = incarnation;
        fleet.at(
                fleet.now() + inUs,
                () -> {
                    if (sender == incarnation) {
                        handle(event);
                    }
                });
    }

    private void act(Action action) {
        if (action instanceof Send send) {
            send(send);
        } else if (action instanceof SetTimer timer) {
            later(Math.max(0, timer.atUs() - fleet.now()), new TimerDue(timer.label()));
        } else if (action instanceof Cancel cancel) {
            end(0, cancel.job(), cancel.attempt(), AttemptOutcome.CANCELLED, () -> null);
        } else if (action instanceof ProbeWorker probe) {
            SimulatedWorker w = fleet.worker(probe.worker());
            if (w.up) {
                reach(w, HANDSHAKE_US);
            }
            later(
                    NETWORK_US,
                    w.up
                            ? new ProbeEnded(w.id, ProbeResult.HEALTHY, w.report())
                            : new ProbeEnded(w.id, ProbeResult.UNREACHABLE, null));
        } else if (action instanceof WatchWorkerList) {
            throw new IllegalStateException("lists are pushed here");
        }
    }

    private LoadReport reportWithResponse(SimulatedWorker w) {
        boolean reports = fleet.site.reporting() == LoadReporting.WITH_RESPONSES;
        return reports ? w.report() : null;
    }

    /** Records work at a worker, and a handshake if this scheduler had no connection. */
    private void reach(SimulatedWorker w, double work) {
        boolean fresh = connected.add(w.id + w.started);
        w.receive(
                work + (fresh ? HANDSHAKE_US : 0),
                knownStarts.getOrDefault(w.id, -1L) == w.started,
                fleet.now());
    }

    private void send(Send send) {
        SimulatedWorker w = fleet.worker(send.worker());
        SentJob job = jobs.get(send.job());
        int attempt = job.open().size();
        job.open().add(true);
        if (!w.up) {
            end(NETWORK_US, send.job(), attempt, AttemptOutcome.NOT_CONNECTED, () -> null);
            return;
        }
        reach(w, job.traffic().work());
        if (fleet.random.nextDouble() < fleet.rejectedShare) {
            end(NETWORK_US, send.job(), attempt, AttemptOutcome.FULL, () -> reportWithResponse(w));
            return;
        }
        long wait = fleet.random.nextDouble() < fleet.delayedShare ? DELAYED_START_US : NETWORK_US;
        long took = (long) (job.traffic().workUs() * (0.5 + fleet.random.nextDouble()));
        later(wait, new AttemptStarted(send.job(), attempt));
        end(wait + took, send.job(), attempt, AttemptOutcome.SERVED, () -> reportWithResponse(w));
    }

    private void end(
            long inUs,
            String id,
            int attempt,
            AttemptOutcome outcome,
            Supplier<LoadReport> report) {
        int sender = incarnation;
        SentJob job = jobs.get(id);
        fleet.at(
                fleet.now() + inUs,
                () -> {
                    if (sender == incarnation && job.open().set(attempt, false)) {
                        handle(
                                new AttemptEnded(
                                        id,
                                        attempt,
                                        outcome,
                                        outcome == AttemptOutcome.SERVED,
                                        report.get()));
                    }
                });
    }

    /** A job and which of its attempts are open. */
    record SentJob(FleetSite.Traffic traffic, List<Boolean> open) {}
}
