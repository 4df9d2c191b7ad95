package damsonslip.policy;

import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulates many schedulers that send to the same workers on one clock and records the work that
 * each worker receives while it warms up. Times are in microseconds, work is in microseconds of one
 * slot.
 *
 * <p>Workers accept any amount of work, so only the schedulers' slow-start budgets limit it. The
 * same seed gives the same run.
 */
final class SlowStartFleet {
    static final long SECOND = 1_000_000;

    private static final long JOB_TIMEOUT_US = 3 * SECOND;

    private record ScheduledAction(long at, long order, Runnable action) {}

    final SimulatedDeployment deployment;
    final SplittableRandom random;

    /** The fractions of all sends that workers reject or start only after a second. */
    double rejectedFraction;

    double delayedFraction;

    /**
     * Minimum delay of a list change from discovery to a scheduler, and the maximum random delay on
     * top of it.
     */
    long minListDelayUs;

    long listDelaySpreadUs;
    private final PriorityQueue<ScheduledAction> scheduledActions =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledAction::at)
                            .thenComparingLong(ScheduledAction::order));
    private final TreeMap<String, SimulatedWorker> workers = new TreeMap<>();
    private final List<SimulatedScheduler> schedulers = new ArrayList<>();
    private long now = SECOND;
    private long order;
    private double trafficFactor = 1;

    SlowStartFleet(SimulatedDeployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
    }

    /** Starts all schedulers with this many warm workers. */
    SlowStartFleet startWithWarmWorkers(int count) {
        for (int i = 0; i < count; i++) {
            workers.put(
                    "warm" + i,
                    new SimulatedWorker("warm" + i, deployment.workerSlots(), Long.MIN_VALUE));
        }
        for (int number = 0; number < deployment.schedulers(); number++) {
            SimulatedScheduler scheduler = new SimulatedScheduler(this, number);
            scheduler.workerList = entries();
            scheduler.start();
            schedulers.add(scheduler);
            scheduleArrivals(scheduler, 0.3 + 1.4 * random.nextDouble());
        }
        return this;
    }

    private List<WorkerEntry> entries() {
        return workers.values().stream().map(SimulatedWorker::entry).toList();
    }

    private void scheduleArrivals(SimulatedScheduler scheduler, double loadFactor) {
        double jobsPerUs =
                deployment.jobsPerSecond()
                        * loadFactor
                        * trafficFactor
                        / deployment.schedulers()
                        / SECOND;
        long wait = (long) Math.min(10 * SECOND, -Math.log(1 - random.nextDouble()) / jobsPerUs);
        schedule(
                now + wait,
                () -> {
                    if (schedulers.contains(scheduler)) {
                        submitJob(scheduler);
                        scheduleArrivals(scheduler, loadFactor);
                    }
                });
    }

    private void submitJob(SimulatedScheduler scheduler) {
        double remaining = random.nextDouble();
        int index = 0;
        while (index < deployment.traffic().size() - 1
                && remaining >= deployment.traffic().get(index).share()) {
            remaining -= deployment.traffic().get(index++).share();
        }
        SimulatedDeployment.Traffic traffic = deployment.traffic().get(index);
        String id = "j" + order++;
        scheduler.jobs.put(id, new SimulatedScheduler.SentJob(traffic, new ArrayList<>(1)));
        int jobClass = deployment.classes().indexOf(traffic.jobClass());
        scheduler.handle(
                new JobArrived(id, jobClass, 0, null, now + JOB_TIMEOUT_US, traffic.slots(), 0));
    }

    /** Schedules an action for a time. */
    void schedule(long atUs, Runnable action) {
        scheduledActions.add(new ScheduledAction(atUs, order++, action));
    }

    /** Multiplies the traffic from now on. */
    void burst(double factor) {
        trafficFactor = factor;
    }

    /** Makes all warm workers report that they have no free slots from now on. */
    void reportWarmWorkersFull() {
        workers.values().forEach(w -> w.reportsFull = w.started == Long.MIN_VALUE);
    }

    /** Starts or restarts a worker. */
    void startWorker(String id) {
        SimulatedWorker w =
                workers.computeIfAbsent(
                        id, unused -> new SimulatedWorker(id, deployment.workerSlots(), now));
        w.started = now;
        w.up = true;
        w.reportsFull = false;
        publishWorkerList();
    }

    /** Stops a worker without changing the worker list. */
    void killWorker(String id) {
        workers.get(id).up = false;
    }

    private void publishWorkerList() {
        List<WorkerEntry> list = entries();
        for (SimulatedScheduler scheduler : schedulers) {
            long delay = minListDelayUs + random.nextLong(listDelaySpreadUs + 1);
            schedule(
                    now + delay,
                    () -> {
                        if (isNewer(list, scheduler.workerList)) {
                            scheduler.updateWorkerList(WorkerListChange.CHANGES, list);
                        }
                    });
        }
    }

    /** Whether a list is newer than the other; a delayed older list is dropped. */
    private static boolean isNewer(List<WorkerEntry> list, List<WorkerEntry> other) {
        return list.size() > other.size()
                || (list.size() == other.size() && sum(list) > sum(other));
    }

    private static double sum(List<WorkerEntry> list) {
        return list.stream().mapToDouble(w -> Math.max(0, w.startedUs())).sum();
    }

    /** Restarts a fraction of the schedulers, which keep their cached lists. */
    void restartSchedulers(double fraction) {
        schedulers.stream()
                .filter(i -> i.number < fraction * schedulers.size())
                .forEach(SimulatedScheduler::start);
    }

    /** Removes a fraction of the schedulers; the settings of the others do not change. */
    void removeSchedulers(double fraction) {
        int count = (int) (fraction * schedulers.size());
        schedulers.subList(0, count).forEach(removed -> removed.incarnation++);
        schedulers.subList(0, count).clear();
    }

    /**
     * Upgrades a fraction of the schedulers: a second process of each starts and uses half of its
     * scheduler's capacity at once. The older process does so after {@code sharedAfterUs} and ends
     * after {@code endedAfterUs}; from then on the new one uses the full capacity.
     */
    void upgradeSchedulers(double fraction, long sharedAfterUs, long endedAfterUs) {
        for (SimulatedScheduler older :
                List.copyOf(schedulers.subList(0, (int) (fraction * schedulers.size())))) {
            SimulatedScheduler newer = new SimulatedScheduler(this, older.number);
            newer.workerList = older.workerList;
            newer.start();
            newer.setProcesses(2, 1);
            schedulers.add(newer);
            scheduleArrivals(newer, 1);
            schedule(now + sharedAfterUs, () -> older.setProcesses(2, 0));
            schedule(
                    now + endedAfterUs,
                    () -> {
                        older.incarnation++;
                        schedulers.remove(older);
                        newer.setProcesses(1, 0);
                    });
        }
    }

    SlowStartFleet run(long until) {
        while (!scheduledActions.isEmpty() && scheduledActions.peek().at() <= until) {
            ScheduledAction next = scheduledActions.poll();
            now = next.at();
            next.action().run();
        }
        now = until;
        return this;
    }

    long now() {
        return now;
    }

    SimulatedWorker worker(String id) {
        return workers.get(id);
    }

    /** Returns for each start of a worker the window whose work came closest to the bound. */
    List<SlowStartVerdict> verdicts() {
        List<SlowStartVerdict> verdicts = new ArrayList<>();
        for (SimulatedWorker w : workers.values()) {
            w.loads.forEach(
                    (start, loads) -> {
                        if (start != Long.MIN_VALUE) {
                            verdicts.add(SlowStartVerdict.of(deployment, w.id, start, loads));
                        }
                    });
        }
        return verdicts;
    }
}
