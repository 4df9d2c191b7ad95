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
 * Many schedulers on one simulated clock that send to the same workers, and the work that reaches
 * each worker while it warms up. Times are microseconds, work is microseconds of one slot.
 *
 * <p>Nothing but the schedulers' own budget holds the work back. The same seed gives the same run.
 */
final class SlowStartFleet {
    static final long SECOND = 1_000_000;

    private static final long PATIENCE_US = 3 * SECOND;

    private record Planned(long at, long order, Runnable what) {}

    final FleetSite site;
    final SplittableRandom random;

    /** The parts of all sends that workers reject, and that start only after a second. */
    double rejectedShare;

    double delayedShare;

    /** Least delay of a change from discovery to a scheduler, and the most that is added to it. */
    long listEarliest;

    long listDelay;
    private final PriorityQueue<Planned> plan =
            new PriorityQueue<>(
                    Comparator.comparingLong(Planned::at).thenComparingLong(Planned::order));
    private final TreeMap<String, SimulatedWorker> workers = new TreeMap<>();
    private final List<SimulatedScheduler> schedulers = new ArrayList<>();
    private long now = SECOND;
    private long order;
    private double pressure = 1;

    SlowStartFleet(FleetSite site, long seed) {
        this.site = site;
        this.random = new SplittableRandom(seed);
    }

    /** Starts all schedulers with so many warm workers. */
    SlowStartFleet warm(int count) {
        for (int i = 0; i < count; i++) {
            workers.put(
                    "warm" + i,
                    new SimulatedWorker("warm" + i, site.workerSlots(), Long.MIN_VALUE));
        }
        for (int number = 0; number < site.schedulers(); number++) {
            SimulatedScheduler scheduler = new SimulatedScheduler(this, number);
            scheduler.workerList = entries();
            scheduler.start();
            schedulers.add(scheduler);
            arrivals(scheduler, 0.3 + 1.4 * random.nextDouble());
        }
        return this;
    }

    private List<WorkerEntry> entries() {
        return workers.values().stream().map(SimulatedWorker::entry).toList();
    }

    private void arrivals(SimulatedScheduler scheduler, double busy) {
        double perUs = site.jobsPerSecond() * busy * pressure / site.schedulers() / SECOND;
        long wait = (long) Math.min(10 * SECOND, -Math.log(1 - random.nextDouble()) / perUs);
        at(
                now + wait,
                () -> {
                    if (schedulers.contains(scheduler)) {
                        arrive(scheduler);
                        arrivals(scheduler, busy);
                    }
                });
    }

    private void arrive(SimulatedScheduler scheduler) {
        double draw = random.nextDouble();
        int of = 0;
        while (of < site.traffic().size() - 1 && draw >= site.traffic().get(of).share()) {
            draw -= site.traffic().get(of++).share();
        }
        FleetSite.Traffic traffic = site.traffic().get(of);
        String id = "j" + order++;
        scheduler.jobs.put(id, new SimulatedScheduler.SentJob(traffic, new ArrayList<>(1)));
        int jobClass = site.classes().indexOf(traffic.jobClass());
        scheduler.handle(
                new JobArrived(id, jobClass, 0, null, now + PATIENCE_US, traffic.slots(), 0));
    }

    /** Plans an action for a time. */
    void at(long when, Runnable what) {
        plan.add(new Planned(when, order++, what));
    }

    /** Multiplies the traffic from now on. */
    void burst(double times) {
        pressure = times;
    }

    /** Makes all warm workers report no free slots from now on. */
    void fillWarm() {
        workers.values().forEach(w -> w.reportsFull = w.started == Long.MIN_VALUE);
    }

    /** Starts or restarts a worker. */
    void startWorker(String id) {
        SimulatedWorker w =
                workers.computeIfAbsent(
                        id, fresh -> new SimulatedWorker(id, site.workerSlots(), now));
        w.started = now;
        w.up = true;
        w.reportsFull = false;
        publish();
    }

    /** Stops a worker without a change of the worker list. */
    void killWorker(String id) {
        workers.get(id).up = false;
    }

    private void publish() {
        List<WorkerEntry> list = entries();
        for (SimulatedScheduler scheduler : schedulers) {
            long delay = listEarliest + random.nextLong(listDelay + 1);
            at(
                    now + delay,
                    () -> {
                        if (newer(list, scheduler.workerList)) {
                            scheduler.list(WorkerListChange.CHANGES, list);
                        }
                    });
        }
    }

    /** Lists come in order: an older one than the last is dropped. */
    private static boolean newer(List<WorkerEntry> list, List<WorkerEntry> than) {
        return list.size() > than.size() || (list.size() == than.size() && sum(list) > sum(than));
    }

    private static double sum(List<WorkerEntry> list) {
        return list.stream().mapToDouble(w -> Math.max(0, w.startedUs())).sum();
    }

    /** Restarts a part of the schedulers, which keep their cached lists. */
    void restart(double part) {
        schedulers.stream()
                .filter(i -> i.number < part * schedulers.size())
                .forEach(SimulatedScheduler::start);
    }

    /** Removes a part of the schedulers; the others' settings do not change. */
    void leave(double part) {
        int count = (int) (part * schedulers.size());
        schedulers.subList(0, count).forEach(gone -> gone.incarnation++);
        schedulers.subList(0, count).clear();
    }

    /**
     * Upgrades a part of the schedulers: a second process of each starts, which counts as one of
     * twice as many at once; the older one does so after the first time and ends after the second,
     * when the new one is alone again.
     */
    void upgrade(double part, long dividedAfterUs, long endedAfterUs) {
        for (SimulatedScheduler older :
                List.copyOf(schedulers.subList(0, (int) (part * schedulers.size())))) {
            SimulatedScheduler newcomer = new SimulatedScheduler(this, older.number);
            newcomer.workerList = older.workerList;
            newcomer.start();
            newcomer.divide(2, 1);
            schedulers.add(newcomer);
            arrivals(newcomer, 1);
            at(now + dividedAfterUs, () -> older.divide(2, 0));
            at(
                    now + endedAfterUs,
                    () -> {
                        older.incarnation++;
                        schedulers.remove(older);
                        newcomer.divide(1, 0);
                    });
        }
    }

    SlowStartFleet run(long until) {
        while (!plan.isEmpty() && plan.peek().at() <= until) {
            Planned next = plan.poll();
            now = next.at();
            next.what().run();
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

    /** Returns for each start of a worker the window that came closest to the bound. */
    List<SlowStartVerdict> verdicts() {
        List<SlowStartVerdict> verdicts = new ArrayList<>();
        for (SimulatedWorker w : workers.values()) {
            w.loads.forEach(
                    (start, loads) -> {
                        if (start != Long.MIN_VALUE) {
                            verdicts.add(SlowStartVerdict.of(site, w.id, start, loads));
                        }
                    });
        }
        return verdicts;
    }
}
