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

/** A scheduler of the simulated fleet: runs its policy and executes the actions. */
final class SimulatedScheduler {
    /** Work that a new connection or a probe causes at a worker. */
    private static final double HANDSHAKE_US = 3_000;

    private static final long NETWORK_US = 1_000;
    private static final long START_DELAY_US = 1_000_000;

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

    /** Starts a new process, which has only the cached list. */
    void start() {
        incarnation++;
        policy = new SchedulingPolicy(fleet.deployment.settings(number), fleet.random.nextLong());
        jobs.clear();
        connected.clear();
        updateWorkerList(WorkerListChange.CACHED, workerList);
    }

    void updateWorkerList(WorkerListChange change, List<WorkerEntry> entries) {
        workerList = entries;
        entries.forEach(worker -> knownStarts.put(worker.id(), worker.startedUs()));
        handle(new WorkerListUpdate(change, entries));
    }

    /** Sets how many processes share this scheduler's capacity, and the index of this one. */
    void setProcesses(int processes, int index) {
        handle(
                new SchedulersChanged(
                        fleet.deployment.schedulers() * processes, number * processes + index));
    }

    void handle(Event event) {
        List<Action> actions = new ArrayList<>();
        policy.handle(fleet.now(), event, actions);
        actions.forEach(this::execute);
    }

    private void scheduleEvent(long inUs, Event event) {
        int sendingIncarnation = incarnation;
        fleet.schedule(
                fleet.now() + inUs,
                () -> {
                    if (sendingIncarnation == incarnation) {
                        handle(event);
                    }
                });
    }

    private void execute(Action action) {
        if (action instanceof Send send) {
            send(send);
        } else if (action instanceof SetTimer timer) {
            scheduleEvent(Math.max(0, timer.atUs() - fleet.now()), new TimerDue(timer.label()));
        } else if (action instanceof Cancel cancel) {
            endAttempt(0, cancel.job(), cancel.attempt(), AttemptOutcome.CANCELLED, () -> null);
        } else if (action instanceof ProbeWorker probe) {
            SimulatedWorker worker = fleet.worker(probe.worker());
            if (worker.up) {
                receiveWork(worker, HANDSHAKE_US);
            }
            scheduleEvent(
                    NETWORK_US,
                    worker.up
                            ? new ProbeEnded(worker.id, ProbeResult.HEALTHY, worker.report())
                            : new ProbeEnded(worker.id, ProbeResult.UNREACHABLE, null));
        } else if (action instanceof WatchWorkerList) {
            throw new IllegalStateException(
                    "the simulation pushes worker lists; the policy must not poll");
        }
    }

    private LoadReport reportWithResponse(SimulatedWorker worker) {
        boolean withResponses = fleet.deployment.reporting() == LoadReporting.WITH_RESPONSES;
        return withResponses ? worker.report() : null;
    }

    /**
     * Records work received by a worker, plus a handshake if this scheduler had no connection to
     * it.
     */
    private void receiveWork(SimulatedWorker worker, double work) {
        boolean newConnection = connected.add(worker.id + worker.started);
        worker.receive(
                work + (newConnection ? HANDSHAKE_US : 0),
                knownStarts.getOrDefault(worker.id, -1L) == worker.started,
                fleet.now());
    }

    private void send(Send send) {
        SimulatedWorker worker = fleet.worker(send.worker());
        SentJob job = jobs.get(send.job());
        int attempt = job.open().size();
        job.open().add(true);
        if (!worker.up) {
            endAttempt(NETWORK_US, send.job(), attempt, AttemptOutcome.NOT_CONNECTED, () -> null);
            return;
        }
        receiveWork(worker, job.traffic().work());
        if (fleet.random.nextDouble() < fleet.rejectedFraction) {
            endAttempt(
                    NETWORK_US,
                    send.job(),
                    attempt,
                    AttemptOutcome.FULL,
                    () -> reportWithResponse(worker));
            return;
        }
        long startDelayUs =
                fleet.random.nextDouble() < fleet.delayedFraction ? START_DELAY_US : NETWORK_US;
        long runTimeUs = (long) (job.traffic().workUs() * (0.5 + fleet.random.nextDouble()));
        scheduleEvent(startDelayUs, new AttemptStarted(send.job(), attempt));
        endAttempt(
                startDelayUs + runTimeUs,
                send.job(),
                attempt,
                AttemptOutcome.SERVED,
                () -> reportWithResponse(worker));
    }

    private void endAttempt(
            long inUs,
            String id,
            int attempt,
            AttemptOutcome outcome,
            Supplier<LoadReport> report) {
        int sendingIncarnation = incarnation;
        SentJob job = jobs.get(id);
        fleet.schedule(
                fleet.now() + inUs,
                () -> {
                    if (sendingIncarnation == incarnation && job.open().set(attempt, false)) {
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

    /** A job and, for each of its attempts, whether it is unfinished. */
    record SentJob(SimulatedDeployment.Traffic traffic, List<Boolean> open) {}
}
