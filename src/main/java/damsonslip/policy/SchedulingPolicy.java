package damsonslip.policy;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptStarted;
import damsonslip.policy.api.ClientDisconnected;
import damsonslip.policy.api.ConnectionLost;
import damsonslip.policy.api.DiscoveryAddressChanged;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.Log;
import damsonslip.policy.api.PoolState;
import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.SchedulersChanged;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.SlowStartLoad;
import damsonslip.policy.api.TimerDue;
import damsonslip.policy.api.WorkerListUpdate;
import damsonslip.policy.api.WorkerState;
import java.util.List;

/**
 * All decisions of one scheduler: takes events, returns actions.
 *
 * <p>Each job class has a pool of workers, which is sized by the offered load of the class. Jobs
 * are admitted up to a threshold on the number of unanswered jobs of their class. The threshold
 * follows from the expected revenue ({@link AdmissionThreshold}) and is divided among the
 * schedulers. Admitted jobs that find no free slot wait in order of arrival for workers of their
 * class's pool. README.md lists the differences from the design.
 *
 * <p>This class only routes events to the other classes of this package. It has no clock, threads,
 * I/O or shared state: times are those of the events, in microseconds, and must not decrease. Not
 * safe for use by several threads.
 */
public final class SchedulingPolicy {
    /**
     * Minimum time between two deals of the workers to the pools. The actual time is random, up to
     * twice as long, so that the schedulers do not all deal at the same time.
     */
    private static final long DEAL_INTERVAL_US = 700_000;

    private static final long LOG_INTERVAL_US = 10_000_000;

    private final DecisionContext context;
    private final FleetComponents fleet;
    private final JobComponents jobComponents;
    private final PolicySnapshot snapshot;
    private final WorkerRegistry registry;
    private final WorkerPools pools;
    private final ActiveJobs jobs;
    private final QueueDispatcher queues;
    private final MeasurementInterval interval = new MeasurementInterval();
    private boolean started;
    private long loggedUs;

    /**
     * Creates a scheduler that knows no workers yet. The same seed and events give the same
     * actions.
     */
    public SchedulingPolicy(Settings settings, long seed) {
        this.context = new DecisionContext(settings, seed);
        this.fleet = new FleetComponents(context);
        this.jobComponents = new JobComponents(context, fleet);
        this.registry = fleet.registry;
        this.pools = fleet.pools;
        this.jobs = jobComponents.jobs;
        this.queues = jobComponents.queues;
        this.snapshot =
                new PolicySnapshot(context, registry, pools, fleet.capacity, fleet.slowStart);
    }

    /**
     * Handles one event and appends the actions that follow from it, in order.
     *
     * @throws IllegalArgumentException if the event names a class, tenant, zone or kind that the
     *     settings lack, reuses the id of an active job, or is earlier than the previous event; the
     *     state is unchanged then
     */
    public void handle(long nowUs, Event event, List<Action> actions) {
        context.settings().validate(event);
        boolean duplicate = event instanceof JobArrived arrival && jobs.contains(arrival.job());
        if (nowUs < context.nowUs() || duplicate) {
            throw new IllegalArgumentException(
                    "duplicate job id, or time before the previous event: " + nowUs + " " + event);
        }
        context.begin(nowUs, actions);
        if (!started) {
            start();
        }
        if (!handleJobEvent(event)) {
            handleFleetEvent(event);
        }
    }

    private boolean handleJobEvent(Event event) {
        if (event instanceof JobArrived arrival) {
            jobArrived(arrival);
        } else if (event instanceof AttemptStarted attemptStarted) {
            attemptStarted(attemptStarted);
        } else if (event instanceof AttemptEnded attemptEnded) {
            attemptEnded(attemptEnded);
        } else if (event instanceof ClientDisconnected disconnected) {
            clientDisconnected(disconnected);
        } else if (event instanceof TimerDue timer) {
            timerDue(timer.label());
        } else {
            return false;
        }
        return true;
    }

    private void handleFleetEvent(Event event) {
        if (event instanceof WorkerListUpdate update) {
            workerListUpdated(update);
        } else if (event instanceof DiscoveryAddressChanged change) {
            fleet.listWatch.addressChanged(change);
        } else if (event instanceof ProbeEnded probeEnded) {
            probeEnded(probeEnded);
        } else if (event instanceof ConnectionLost lost) {
            connectionLost(lost);
        } else if (event instanceof SchedulersChanged change) {
            context.replaceSettings(context.settings().withSchedulers(change));
            fleet.listWatch.schedulersChanged(change);
        }
    }

    private void start() {
        started = true;
        loggedUs = context.nowUs();
        interval.start(context.nowUs());
        jobComponents.quotas.start(context.nowUs());
        long firstDealUs = DEAL_INTERVAL_US / 2 + context.random().nextLong(DEAL_INTERVAL_US);
        context.setTimerIn(firstDealUs, TimerLabels.DEAL);
        fleet.listWatch.start();
        fleet.probeRounds.start();
    }

    private void timerDue(String label) {
        switch (label) {
            case TimerLabels.DEAL -> measureAndDeal();
            case TimerLabels.SWEEP -> queues.sweep();
            case TimerLabels.PROBE -> fleet.probeRounds.probeBatch(pools.ownArrivalsPerSecond());
            case TimerLabels.LIST -> fleet.listWatch.call();
            default -> jobTimerDue(label);
        }
    }

    private void jobTimerDue(String label) {
        Job job = jobs.findUnanswered(TimerLabels.jobOf(label));
        if (job == null) {
            return;
        }
        if (TimerLabels.isAttemptStart(label)) {
            jobComponents.migration.check(job);
        } else {
            jobComponents.completion.answerUnserved(job);
        }
    }

    private void measureAndDeal() {
        interval.end(context.nowUs());
        pools.measure(interval);
        jobComponents.quotas.measure(interval, context.settings());
        registry.removeLongStopped(pools::forget);
        dealPools();
        log();
        long delayUs = DEAL_INTERVAL_US + context.random().nextLong(DEAL_INTERVAL_US);
        context.setTimerIn(delayUs, TimerLabels.DEAL);
    }

    private void dealPools() {
        List<Worker> running = registry.running();
        fleet.probeRounds.setWorkers(running);
        pools.deal(registry, running);
        queues.dispatchAll();
    }

    private void log() {
        if (context.nowUs() - loggedUs < LOG_INTERVAL_US) {
            return;
        }
        loggedUs = context.nowUs();
        PolicySnapshot.Counts counts =
                new PolicySnapshot.Counts(
                        fleet.borrowing.borrowed(),
                        jobComponents.migration.migrated(),
                        jobComponents.admission.overQuota(),
                        jobComponents.completion.unserved());
        context.emit(new Log(snapshot.logLine(counts, fleet.slots)));
    }

    private void workerListUpdated(WorkerListUpdate update) {
        if (update.change().isFailure()) {
            fleet.listWatch.ended(update);
            return;
        }
        fleet.listWatch.received(update);
        if (registry.apply(update)) {
            dealPools();
        }
    }

    private void jobArrived(JobArrived arrival) {
        WorkerPool pool = pools.ofClass(arrival.jobClass());
        pool.observeSlots(arrival.slots());
        int affinityWorkers = fleet.selector.countAffinityWorkers(pool, arrival.affinityKey());
        Job job = jobs.add(arrival, pool, affinityWorkers, context.nowUs());
        long answerUs = arrival.deadlineUs() - context.settings().tickUs();
        context.setJobTimerAt(answerUs, TimerLabels.jobDeadline(job.id()), job);
        jobComponents.admission.admit(job);
    }

    private void attemptStarted(AttemptStarted event) {
        JobAttempt attempt = jobs.findAttempt(event.job(), event.attempt());
        if (attempt != null && !attempt.isStarted()) {
            attempt.recordStart(context.nowUs());
            jobComponents.migration.attemptStarted(attempt);
        }
    }

    private void attemptEnded(AttemptEnded event) {
        JobAttempt attempt = jobs.findAttempt(event.job(), event.attempt());
        if (attempt == null || !attempt.isOpen()) {
            return;
        }
        jobComponents.attemptResults.attemptEnded(attempt, event);
        queues.unblockAndDispatch(attempt.worker().pool());
        queues.unblockAndDispatch(attempt.job().homePool());
    }

    private void clientDisconnected(ClientDisconnected event) {
        Job job = jobs.findUnanswered(event.job());
        if (job != null) {
            jobComponents.completion.end(job);
        }
    }

    private void probeEnded(ProbeEnded event) {
        Worker worker = registry.find(event.worker());
        if (worker == null) {
            return;
        }
        long graceUs = fleet.listWatch.discovery().graceUs();
        fleet.probeSender.ended(worker, event, graceUs);
        if (event.result().isHealthy()) {
            fleet.loadReports.accept(worker, event.report(), true);
        }
        queues.unblockAndDispatch(worker.pool());
    }

    private void connectionLost(ConnectionLost event) {
        Worker worker = registry.find(event.worker());
        if (worker != null) {
            worker.lease().connectionFailed(context.nowUs());
        }
    }

    /**
     * Returns the label of the timer at which a job gets its final answer if it has none by then.
     */
    public static String deadlineTimerLabel(String job) {
        return TimerLabels.jobDeadline(job);
    }

    /**
     * Returns whether the worker is known, and either the worker list or the worker's lease is
     * valid.
     */
    public boolean mayUse(String worker, long nowUs) {
        context.advanceTo(nowUs);
        Worker found = registry.find(worker);
        return found != null && fleet.availability.mayUse(found);
    }

    /**
     * Returns the load that this scheduler has sent to a warming-up worker in the current window,
     * and the worker's limit; null if the worker is unknown or not warming up.
     */
    public SlowStartLoad slowStartLoad(String worker, int jobClass) {
        Worker found = registry.find(worker);
        if (found == null || !fleet.slowStart.isWarmingUp(found)) {
            return null;
        }
        return fleet.slowStart.load(found, pools.ofClass(jobClass));
    }

    /** Returns the state of the pools, by class. */
    public List<PoolState> pools() {
        return snapshot.pools();
    }

    /** Returns the state of the workers at this time, by id. */
    public List<WorkerState> workers(long nowUs) {
        context.advanceTo(nowUs);
        return snapshot.workers();
    }
}
