package damsonslip.policy;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.AttemptStarted;
import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Limits;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.LoadReporting;
import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.ProbeWorker;
import damsonslip.policy.api.SchedulersChanged;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.SetTimer;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.TimerDue;
import damsonslip.policy.api.WatchWorkerList;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * Many dispatchers on one simulated clock, all sending to the same workers, and the work that
 * reaches each worker while it is cold. Times are microseconds, work is microseconds of one slot.
 *
 * <p>The workers are hollow: they run whatever comes, report room as told, and never slow down, so
 * that nothing but the dispatchers' own budget holds the work back. The same seed gives the same
 * run.
 */
final class ColdFleet {
    static final long SECOND = 1_000_000;

    /**
     * What a new connection or a probe costs a worker: the same figure as the module's own guess.
     */
    private static final double HANDSHAKE_US = 3_000;

    private static final long NETWORK_US = 1_000;
    private static final long PATIENCE_US = 3 * SECOND;

    /**
     * A fall breaks the rule if more than this part of the load came from dispatchers that had been
     * told of the start.
     */
    private static final double TOLD_SHARE = 2.0 / 3;

    /**
     * A class of jobs: how the settings name it, what a job really takes in each of its slots, how
     * many slots that are, and which part of all jobs is of the class.
     */
    record Traffic(JobClass of, double workUs, int slots, double share) {
        double work() {
            return workUs * slots;
        }
    }

    /**
     * A deployment and the load on it; {@code toldDispatchers} is how many there are by the
     * settings.
     */
    record Site(
            int dispatchers,
            int toldDispatchers,
            Guarantees guarantees,
            LoadReporting reporting,
            int workerSlots,
            List<Traffic> traffic,
            double jobsPerSecond) {
        Settings settings(int number) {
            return new Settings(
                    toldDispatchers,
                    number % toldDispatchers,
                    number % 2,
                    2,
                    1,
                    classes(),
                    List.of(),
                    new Limits(4, true, true, 0.002, 0.1),
                    guarantees,
                    reporting,
                    false,
                    true,
                    4_000);
        }

        /** Jobs of one class may differ in their slots. */
        List<JobClass> classes() {
            return traffic.stream().map(Traffic::of).distinct().toList();
        }

        double meanWork() {
            return traffic.stream().mapToDouble(t -> t.share() * t.work()).sum();
        }

        /**
         * Requests of mean work that push a cold worker over, if they come within the rule's time
         * up to this age.
         */
        double bound(long age) {
            double warmth = guarantees.slowStartShareAt(age - guarantees.overloadWindowUs() / 2);
            double n =
                    guarantees.overloadFactor()
                            * warmth
                            * workerSlots
                            * guarantees.overloadWindowUs()
                            / meanWork();
            return n + 2 * Math.sqrt(n) + 2;
        }
    }

    /** Work that reached a worker, and whether its sender had been told of the worker's start. */
    private record Load(long at, double work, boolean told) {}

    /**
     * The span in which a start of a worker came nearest to the rule's bound.
     *
     * @param ratio all work in the span, in parts of the bound
     * @param told the part of that work that schedulers sent that had been told of the start
     * @param broken whether the worker's first fall, if there was one, breaks the rule
     */
    record Worst(
            String worker,
            long startUs,
            long ageUs,
            double ratio,
            double told,
            boolean broken,
            int requests) {}

    private record Planned(long at, long order, Runnable what) {}

    private final class Hollow {
        final String id;
        long started;
        boolean up = true;
        boolean full;

        /** The loads of each start. */
        final TreeMap<Long, List<Load>> loads = new TreeMap<>();

        Hollow(String id, long started) {
            this.id = id;
            this.started = started;
        }

        void load(double work, boolean told) {
            loads.computeIfAbsent(started, fresh -> new ArrayList<>())
                    .add(new Load(now, work, told));
        }

        LoadReport report(boolean asked) {
            boolean reports = asked || site.reporting() == LoadReporting.WITH_RESPONSES;
            return reports
                    ? new LoadReport(full ? 0 : site.workerSlots(), Double.NaN, Double.NaN)
                    : null;
        }

        WorkerEntry entry() {
            return new WorkerEntry(id, 0, 0, 0, WorkerStatus.RUNNING, started);
        }
    }

    private record Work(Traffic traffic, List<Boolean> open) {}

    private final class Instance {
        final int number;
        SchedulingPolicy rules;
        int life;
        List<WorkerEntry> known = List.of();
        final Map<String, Long> told = new HashMap<>();
        final Map<String, Work> jobs = new HashMap<>();
        final Set<String> connected = new HashSet<>();

        Instance(int number) {
            this.number = number;
        }

        /** A new process: it knows the kept list and nothing else. */
        void start() {
            life++;
            rules = new SchedulingPolicy(site.settings(number), random.nextLong());
            jobs.clear();
            connected.clear();
            list(WorkerListChange.KEPT, known);
        }

        void list(WorkerListChange mode, List<WorkerEntry> list) {
            known = list;
            list.forEach(w -> told.put(w.id(), w.startedUs()));
            give(new WorkerListUpdate(mode, list));
        }

        /** Counts from now on as one of so many processes of its dispatcher. */
        void divide(int processes, int index) {
            give(new SchedulersChanged(site.dispatchers() * processes, number * processes + index));
        }

        void give(Event event) {
            List<Action> actions = new ArrayList<>();
            rules.handle(now, event, actions);
            actions.forEach(this::act);
        }

        private void later(long inUs, Event event) {
            int of = life;
            at(
                    now + inUs,
                    () -> {
                        if (of == life) {
                            give(event);
                        }
                    });
        }

        private void act(Action action) {
            if (action instanceof Send send) {
                send(send);
            } else if (action instanceof SetTimer timer) {
                later(Math.max(0, timer.atUs() - now), new TimerDue(timer.label()));
            } else if (action instanceof Cancel cancel) {
                end(0, cancel.job(), cancel.attempt(), AttemptOutcome.CANCELLED, () -> null);
            } else if (action instanceof ProbeWorker probe) {
                Hollow w = workers.get(probe.worker());
                if (w.up) {
                    reach(w, HANDSHAKE_US);
                }
                later(
                        NETWORK_US,
                        w.up
                                ? new ProbeEnded(w.id, ProbeResult.HEALTHY, w.report(true))
                                : new ProbeEnded(w.id, ProbeResult.UNREACHABLE, null));
            } else if (action instanceof WatchWorkerList) {
                throw new IllegalStateException("lists are pushed here");
            }
        }

        private void reach(Hollow w, double work) {
            boolean fresh = connected.add(w.id + w.started);
            w.load(work + (fresh ? HANDSHAKE_US : 0), told.getOrDefault(w.id, -1L) == w.started);
        }

        private void send(Send send) {
            Hollow w = workers.get(send.worker());
            Work job = jobs.get(send.job());
            int attempt = job.open().size();
            job.open().add(true);
            if (!w.up) {
                end(NETWORK_US, send.job(), attempt, AttemptOutcome.NOT_CONNECTED, () -> null);
                return;
            }
            reach(w, job.traffic().work());
            if (random.nextDouble() < turnedAway) {
                end(NETWORK_US, send.job(), attempt, AttemptOutcome.FULL, () -> w.report(false));
                return;
            }
            long wait = random.nextDouble() < stuck ? SECOND : NETWORK_US;
            long took = (long) (job.traffic().workUs() * (0.5 + random.nextDouble()));
            later(wait, new AttemptStarted(send.job(), attempt));
            end(wait + took, send.job(), attempt, AttemptOutcome.SERVED, () -> w.report(false));
        }

        private void end(
                long inUs,
                String id,
                int attempt,
                AttemptOutcome outcome,
                Supplier<LoadReport> report) {
            int of = life;
            Work job = jobs.get(id);
            at(
                    now + inUs,
                    () -> {
                        if (of == life && job.open().set(attempt, false)) {
                            give(
                                    new AttemptEnded(
                                            id,
                                            attempt,
                                            outcome,
                                            outcome == AttemptOutcome.SERVED,
                                            report.get()));
                        }
                    });
        }
    }

    final Site site;
    final SplittableRandom random;

    /** The parts of all sends that workers turn away, and that start only after a second. */
    double turnedAway;

    double stuck;

    /**
     * How much later than discovery a dispatcher hears of a change at the least, and how much more
     * at the most.
     */
    long listEarliest;

    long listDelay;
    private final PriorityQueue<Planned> plan =
            new PriorityQueue<>(
                    Comparator.comparingLong(Planned::at).thenComparingLong(Planned::order));
    private final TreeMap<String, Hollow> workers = new TreeMap<>();
    private final List<Instance> instances = new ArrayList<>();
    private long now = SECOND;
    private long order;
    private double pressure = 1;

    ColdFleet(Site site, long seed) {
        this.site = site;
        this.random = new SplittableRandom(seed);
    }

    /** All dispatchers start with so many warm workers. */
    ColdFleet warm(int count) {
        for (int i = 0; i < count; i++) {
            workers.put("warm" + i, new Hollow("warm" + i, Long.MIN_VALUE));
        }
        for (int number = 0; number < site.dispatchers(); number++) {
            Instance instance = new Instance(number);
            instance.known = entries();
            instance.start();
            instances.add(instance);
            arrivals(instance, 0.3 + 1.4 * random.nextDouble());
        }
        return this;
    }

    private List<WorkerEntry> entries() {
        return workers.values().stream().map(Hollow::entry).toList();
    }

    private void arrivals(Instance instance, double busy) {
        double perUs = site.jobsPerSecond() * busy * pressure / site.dispatchers() / SECOND;
        long wait = (long) Math.min(10 * SECOND, -Math.log(1 - random.nextDouble()) / perUs);
        at(
                now + wait,
                () -> {
                    if (instances.contains(instance)) {
                        arrive(instance);
                        arrivals(instance, busy);
                    }
                });
    }

    private void arrive(Instance instance) {
        double draw = random.nextDouble();
        int of = 0;
        while (of < site.traffic().size() - 1 && draw >= site.traffic().get(of).share()) {
            draw -= site.traffic().get(of++).share();
        }
        Traffic traffic = site.traffic().get(of);
        String id = "j" + order++;
        instance.jobs.put(id, new Work(traffic, new ArrayList<>(1)));
        int jobClass = site.classes().indexOf(traffic.of());
        instance.give(new JobArrived(id, jobClass, 0, null, now + PATIENCE_US, traffic.slots(), 0));
    }

    /** Plans something for a moment. */
    void at(long when, Runnable what) {
        plan.add(new Planned(when, order++, what));
    }

    /** From now on so many times as much comes in. */
    void burst(double times) {
        pressure = times;
    }

    /**
     * All warm workers report to be full from now on, so that whatever is allowed goes to the cold
     * ones.
     */
    void fillWarm() {
        workers.values().forEach(w -> w.full = w.started == Long.MIN_VALUE);
    }

    /** A worker starts now, for the first time or anew. */
    void startWorker(String id) {
        Hollow w = workers.computeIfAbsent(id, fresh -> new Hollow(id, now));
        w.started = now;
        w.up = true;
        w.full = false;
        publish();
    }

    /** A worker is gone from one moment to the next; the list does not tell. */
    void killWorker(String id) {
        workers.get(id).up = false;
    }

    private void publish() {
        List<WorkerEntry> list = entries();
        for (Instance instance : instances) {
            long delay = listEarliest + random.nextLong(listDelay + 1);
            at(
                    now + delay,
                    () -> {
                        if (newer(list, instance.known)) {
                            instance.list(WorkerListChange.CHANGES, list);
                        }
                    });
        }
    }

    /** Lists come in order: one that was overtaken is not delivered any more. */
    private static boolean newer(List<WorkerEntry> list, List<WorkerEntry> than) {
        return list.size() > than.size() || list.size() == than.size() && sum(list) > sum(than);
    }

    private static double sum(List<WorkerEntry> list) {
        return list.stream().mapToDouble(w -> Math.max(0, w.startedUs())).sum();
    }

    /**
     * A part of the dispatchers, by number, ends and starts anew at once; the list that they kept
     * is as they had it.
     */
    void restart(double part) {
        instances.stream().filter(i -> i.number < part * instances.size()).forEach(Instance::start);
    }

    /** A part of the dispatchers, by number, is gone for good; the others' settings do not tell. */
    void leave(double part) {
        int count = (int) (part * instances.size());
        instances.subList(0, count).forEach(gone -> gone.life++);
        instances.subList(0, count).clear();
    }

    /**
     * A second process of each of these dispatchers starts, which counts as one of twice as many
     * from its first moment; the older one counts so after the first time, and is gone after the
     * second, when the newcomer is alone again.
     */
    void upgrade(double part, long dividedAfter, long goneAfter) {
        for (Instance older : List.copyOf(instances.subList(0, (int) (part * instances.size())))) {
            Instance newcomer = new Instance(older.number);
            newcomer.known = older.known;
            newcomer.start();
            newcomer.divide(2, 1);
            instances.add(newcomer);
            arrivals(newcomer, 1);
            at(now + dividedAfter, () -> older.divide(2, 0));
            at(
                    now + goneAfter,
                    () -> {
                        older.life++;
                        instances.remove(older);
                        newcomer.divide(1, 0);
                    });
        }
    }

    ColdFleet run(long until) {
        while (!plan.isEmpty() && plan.peek().at() <= until) {
            Planned next = plan.poll();
            now = next.at();
            next.what().run();
        }
        now = until;
        return this;
    }

    /** For each start of a cold worker the span that came nearest to the bound. */
    List<Worst> worst() {
        List<Worst> all = new ArrayList<>();
        for (Hollow w : workers.values()) {
            w.loads.forEach(
                    (start, loads) -> {
                        if (start != Long.MIN_VALUE) {
                            all.add(worst(w.id, start, loads));
                        }
                    });
        }
        return all;
    }

    private Worst worst(String id, long start, List<Load> loads) {
        double[] inSpan = new double[2];
        int from = 0;
        Worst worst = new Worst(id, start, 0, 0, 0, false, loads.size());
        boolean fallen = false;
        boolean broken = false;
        for (Load load : loads) {
            long age = load.at() - start;
            if (age >= site.guarantees().slowStartUs()) {
                break;
            }
            inSpan[load.told() ? 1 : 0] += load.work();
            for (;
                    loads.get(from).at() <= load.at() - site.guarantees().overloadWindowUs();
                    from++) {
                inSpan[loads.get(from).told() ? 1 : 0] -= loads.get(from).work();
            }
            double sum = Arrays.stream(inSpan).sum();
            double ratio = sum / site.meanWork() / site.bound(age);
            broken |= !fallen && ratio > 1 && inSpan[1] > TOLD_SHARE * sum;
            fallen |= ratio > 1;
            if (ratio > worst.ratio()) {
                worst = new Worst(id, start, age, ratio, inSpan[1] / sum, false, loads.size());
            }
        }
        return new Worst(
                id, start, worst.ageUs(), worst.ratio(), worst.told(), broken, loads.size());
    }
}
