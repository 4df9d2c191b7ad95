package damsonslip.policy;

import damsonslip.membership.DiscoveryWatch;
import damsonslip.membership.StartTimes;
import damsonslip.policy.FleetState.*;
import damsonslip.policy.FleetState.Worker;
import damsonslip.policy.api.*;
import java.util.*;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * All decisions of one dispatcher; its interface stands in the package {@code
 * damsonslip.policy.api}.
 *
 * <p>The design: a pool of workers for each job class, sized by offered load; a threshold on the
 * jobs present, searched by revenue and shared among the dispatchers; admitted jobs held in arrival
 * order and released to their own pool. README.md tells what departs from it. No clock, threads,
 * I/O or shared state.
 */
public final class SchedulingPolicy {
    // ---- constants, each with its reason

    /**
     * Pools and thresholds are worked out this often and up to twice that, so that none re-deal in
     * step.
     */
    private static final long DEAL_US = 700_000;

    /** What is known of a worker that has stopped is kept for so long, if it may come back. */
    private static final long RETENTION_US = 600_000_000;

    /** Held jobs are looked at again this often, for room that no event has told of. */
    private static final long SWEEP_US = 20_000;

    /** Weight of the newest interval in the arrival rate: about the last ten seconds count. */
    private static final double RATE_WEIGHT = 0.1;

    /**
     * The same for the rates that pools are cut by: dispatchers that see little must still cut
     * alike.
     */
    private static final double STEADY_WEIGHT = 0.025;

    /**
     * Sends this recent may be missing from a report: reports are refreshed a few times a second at
     * best.
     */
    private static final long REPORT_LAG_US = 250_000;

    /**
     * A job sent longer ago than this and not known to have started waits in its worker's queue.
     */
    private static final long START_US = 80_000;

    /** What others have at a worker is taken from the reports of about this long. */
    private static final double OTHERS_US = 500e3;

    /**
     * A job that may be repeated is looked at so long after it was sent, after this part of its
     * slack.
     */
    private static final long MOVE_US = 100_000;

    private static final double MOVE_PART = 0.12;

    /**
     * A job that starts at once allows so many moves, enough for a lost zone; others take some
     * back.
     */
    private static final double MOVES_AT_ONCE = 0.3, MOVES_LATER = -0.4, MOST_MOVES = 20;

    /** A worker counts as having room down to this many free slots: guesses are fractions. */
    private static final double ROOM = 0.5;

    /**
     * A worker of the own zone has so many more free slots, as it were, times the price of
     * crossing.
     */
    private static final double ZONE = 80;

    /**
     * A worker is slow when its jobs take this many times as long as where their class runs
     * quickly.
     */
    private static final double SLOW = 2.2;

    /**
     * A worker is silent when an own job is out for this many mean times with nothing back since.
     */
    private static final double SILENT = 4;

    /** Workers looked at for one job along its pool's ring. */
    private static final int WALK = 32;

    /** Points of each worker on the ring: evens out the arcs. */
    private static final int POINTS = 32;

    /** Jobs passed over at the head of a hold when they alone cannot be placed. */
    private static final int PASS_OVER = 16;

    /** A subject's load fills its workers up to this part before it gets one more. */
    private static final double HEAT_FULL = 0.7;

    /** A job with a subject may wait in the queue of its workers behind about this many others. */
    private static final double QUEUE = 2;

    /** A worker that answered 'full' gets nothing for this long, unless it reports room. */
    private static final long FULL_US = 60_000;

    /** First pause after a failed connection, a reset or a time-out; doubled with each in a row. */
    private static final long PAUSE_US = 250_000;

    /** A worker that has answered this recently is alive whatever happens to a single link. */
    private static final long ALIVE_US = 500_000;

    /** Doublings of that pause at most. */
    private static final int MOST_DOUBLINGS = 5;

    /**
     * What must not be repeated goes to a worker that has failed only this long after its pause.
     */
    private static final long TRUST_US = 4_000_000;

    /**
     * A worker that reports more errors a second than one now and then is failing, whoever has met
     * them.
     */
    private static final double FAILING = 1;

    /**
     * A pool lends slots, and takes jobs beyond their tenants' quotas, while this share of it is
     * free.
     */
    private static final double SPARE = 0.45;

    /**
     * What lies within quotas may exceed the share of K by this many square roots of it, or take a
     * slot seen free. Guards against shares near one: alone, each would turn away half of what
     * there is room for.
     */
    private static final double SWING = 2;

    /**
     * A job waits this part of its spare time for its own pool before it may borrow from another.
     */
    private static final double BORROW_AFTER = 0.15;

    /** A job that has waited for this part of the slack is turned away if others wait behind it. */
    private static final double LATE = 0.3;

    /** No client is told to stay away for longer: things look different by then. */
    private static final double MOST_RETRY_US = 10e6;

    /** The log says how things stand this often. */
    private static final long LOG_US = 10_000_000;

    private static final double SECOND = 1e6;
    private static final long SUBJECT_SALT = 0x632BE59BD9B4E019L;
    private static final String DEAL = "deal", SWEEP = "sweep", PROBE = "probe", LIST = "list";
    private static final String OF_JOB = "j:", STARTED = "s:";

    // ---- what is known

    private Settings settings;
    private final Guarantees rules;
    private final SplittableRandom random;
    private final DiscoveryWatch discovery;
    private final StartTimes startTimes = new StartTimes();
    private final SlowStartBudget coldBudget;
    private final TreeMap<String, Worker> workers = new TreeMap<>();
    private final Map<String, Job> jobs = new HashMap<>();
    private final Pool[] pools;
    private final TenantQuotas quotas;
    private final int[] kindSlots;
    private final FreeSeen[] freeSeen;
    private final Free[] freeAnywhere = {new Free(), new Free()};
    private final ProbeScheduler probes = new ProbeScheduler();
    private final PoolDealer dealing;
    private List<Action> actions;
    private double measured, movesLeft = 1;
    private long now = Long.MIN_VALUE, orders, dealtAt, loggedAt;
    private boolean started, sweeping, subjects = true;
    private int borrowed, moved, beyondQuota, turnedAway;

    /** A dispatcher that knows nothing yet; the same seed and events give the same actions. */
    public SchedulingPolicy(Settings settings, long seed) {
        this.settings = settings;
        this.rules = settings.guarantees();
        this.random = new SplittableRandom(seed);
        this.discovery = DiscoveryEvents.newWatch(settings);
        this.coldBudget = new SlowStartBudget(rules);
        this.pools = new Pool[settings.classes().size()];
        for (int i = 0; i < pools.length; i++) {
            pools[i] = new Pool(settings.classes().get(i), settings.kinds(), settings.zones());
        }
        this.dealing = new PoolDealer(pools);
        this.quotas = new TenantQuotas(settings.tenantQuotas().size());
        this.freeSeen =
                Stream.generate(FreeSeen::new).limit(settings.kinds()).toArray(FreeSeen[]::new);
        this.kindSlots = new int[settings.kinds()];
        Arrays.fill(kindSlots, FreeSeen.GUESSED_SLOTS);
    }

    /**
     * Takes one event and appends what is to be done about it, in order.
     *
     * @throws IllegalArgumentException if the event breaks the contract; nothing has changed then
     */
    public void handle(long nowUs, Event event, List<Action> to) {
        settings.validate(event);
        if (nowUs < now || event instanceof JobArrived e && jobs.containsKey(e.job())) {
            throw new IllegalArgumentException(
                    "a job comes twice or time goes back: " + nowUs + " " + event);
        }
        now = nowUs;
        actions = to;
        if (!started) {
            start();
        }
        if (event instanceof WorkerListUpdate e) {
            listed(e);
        } else if (event instanceof DiscoveryAddressChanged e) {
            DiscoveryEvents.addressChanged(e, discovery);
        } else if (event instanceof JobArrived e) {
            arrived(e);
        } else if (event instanceof AttemptStarted e) {
            Attempt a = attempt(e.job(), e.attempt());
            if (a != null && a.started == 0) {
                a.started = now;
                movesLeft += now - a.sent < MOVE_US ? MOVES_AT_ONCE : MOVES_LATER;
                movesLeft = Math.max(0, Math.min(MOST_MOVES, movesLeft));
            }
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e);
        } else if (event instanceof ClientDisconnected e) {
            ifOpen(e.job(), this::end);
        } else if (event instanceof ProbeEnded e) {
            probed(e);
        } else if (event instanceof ConnectionLost e && workers.containsKey(e.worker())) {
            workers.get(e.worker()).lease.connectionFailed(now);
        } else if (event instanceof TimerDue e) {
            due(e.label());
        } else if (event instanceof SchedulersChanged e) {
            settings = settings.withSchedulers(e);
            discovery.divide(e.schedulers(), e.schedulerIndex());
        }
    }

    /**
     * The timer's label at which a job gets its final answer; a dispatcher may have it fall due
     * earlier.
     */
    public static String lastLabel(String job) {
        return OF_JOB + job;
    }

    private void start() {
        started = true;
        loggedAt = dealtAt = now;
        quotas.begin(now);
        timer(DEAL_US / 2 + random.nextLong(DEAL_US), DEAL);
        if (settings.pollsWorkerList()) {
            actions.add(new SetTimer(discovery.start(now, random.nextDouble()), LIST));
        }
        if (settings.limits().mayProbe() && settings.loadReporting() == LoadReporting.BY_PROBE) {
            timer(random.nextLong(SWEEP_US) + 1, PROBE);
        }
    }

    private void timer(long inUs, String label) {
        actions.add(new SetTimer(now + inUs, label));
    }

    private void due(String label) {
        switch (label) {
            case DEAL -> {
                measure();
                forgetGone();
                deal();
                log();
                timer(DEAL_US + random.nextLong(DEAL_US), DEAL);
            }
            case SWEEP -> {
                sweeping = false;
                Arrays.stream(pools).forEach(this::released);
            }
            case PROBE -> probe();
            case LIST -> {
                discovery.called(now);
                actions.add(new WatchWorkerList());
            }
            default ->
                    ifOpen(
                            label.substring(2),
                            label.startsWith(STARTED) ? this::move : this::answer);
        }
    }

    // ---- the list of workers (rule 3)

    private void listed(WorkerListUpdate update) {
        WorkerListChange mode = update.change();
        if (mode == WorkerListChange.NOT_CALLED && !settings.pollsWorkerList()) {
            discovery.unread(now);
            return;
        }
        if (mode.isFailure()) {
            long heard = Math.min(now, update.lastReceivedUs());
            actions.add(
                    new SetTimer(
                            discovery.lost(
                                    DiscoveryEvents.loss(mode), heard, now, random.nextDouble()),
                            LIST));
            return;
        }
        DiscoveryEvents.listReceived(update, discovery);
        boolean changed = false;
        if (mode.isComplete()) {
            for (Worker w : workers.values()) {
                changed |= w.running;
                w.running = false;
            }
        }
        long correction = startTimes.correctionUs();
        for (WorkerEntry entry : update.workers()) {
            changed |= listed(entry, mode.isFromDiscovery() && startTimes.seesStarts());
        }
        startTimes.listed(mode.isFromDiscovery(), now);
        if (correction != startTimes.correctionUs()) {
            workers.values().stream()
                    .filter(w -> !w.seenToStart)
                    .forEach(w -> w.started = startTimes.told(w.stamp, now));
        }
        if (changed) {
            deal();
        }
    }

    /** Forgets workers that have not run for long. */
    private void forgetGone() {
        for (Iterator<Worker> all = workers.values().iterator(); all.hasNext(); ) {
            Worker w = all.next();
            w.ranAt = w.running ? now : w.ranAt;
            if (!w.running && w.out.isEmpty() && now - w.ranAt > RETENTION_US) {
                all.remove();
                Arrays.stream(pools).forEach(pool -> pool.forget(w));
            }
        }
    }

    private boolean listed(WorkerEntry entry, boolean seesStarts) {
        Worker w = workers.computeIfAbsent(entry.id(), Worker::new);
        boolean before = w.running;
        w.ranAt = now;
        w.running = entry.status() == WorkerStatus.RUNNING;
        w.zone = entry.zone();
        w.cell = entry.cell();
        w.kind = entry.kind();
        if (w.stamp != entry.startedUs()) {
            w.stamp = entry.startedUs();
            w.seenToStart = seesStarts;
            w.started = seesStarts ? startTimes.seen(w.stamp, now) : startTimes.told(w.stamp, now);
            w.coldTurn = -1;
            w.pausedUntil = w.strikes = 0;
            w.pace = 1; // what made it slow has most likely gone
            w.reportedFree = Double.NaN;
        }
        return before != w.running;
    }

    // ---- estimates

    private void measure() {
        double seconds = (now - dealtAt) / SECOND;
        dealtAt = now;
        measured += seconds;
        double weight = Math.min(1, Math.max(RATE_WEIGHT, 1 / measured) * seconds);
        double slow = Math.min(1, Math.max(STEADY_WEIGHT, 1 / measured) * seconds);
        for (Pool pool : pools) {
            pool.rate += weight * (pool.arrivals * settings.schedulers() / seconds - pool.rate);
            pool.steady += slow * (pool.arrivals / seconds - pool.steady);
            pool.arrivals = 0;
            pool.forgetColdSubjects(now);
        }
        quotas.measure(seconds, weight, settings);
        subjects = Arrays.stream(pools).anyMatch(pool -> !pool.heat.isEmpty());
    }

    private static double aim(Pool pool) {
        return pool.of.latencyObjectiveUs() + pool.of.runTimeFactor() * pool.time;
    }

    /**
     * How long a middling job may wait and still be in time; with long tails most are far below the
     * mean.
     */
    private static double slack(Pool pool) {
        return pool.of.latencyObjectiveUs()
                + (pool.of.runTimeFactor() - 1) * Math.min(pool.median, pool.time);
    }

    /**
     * Takes a report in; one that was asked for is fresh, others are about as old as the own mean.
     */
    private void reported(Worker w, LoadReport report, boolean fresh) {
        if (report == null || Double.isNaN(report.freeSlots())) {
            return;
        }
        double free = Math.max(0, report.freeSlots());
        kindSlots[w.kind] = freeSeen[w.kind].learn(w.told(report, now));
        w.own(0, now);
        w.fresh = fresh;
        double others = Math.max(0, w.slots(kindSlots) - free - (fresh ? w.own : w.ownMean));
        double age = fresh || Double.isNaN(w.reportedFree) ? Double.MAX_VALUE : now - w.reportedAt;
        double weight = 1 - Math.exp(-age / OTHERS_US);
        w.others += weight * (others - w.others);
        w.reportedFree = free;
        w.reportedMemory = report.freeMemory();
        w.reportedAt = now;
        w.sentMemory = w.memorySentSince(now - REPORT_LAG_US);
        w.tells(Math.min(1, free / w.slots(kindSlots)), cold(w), freeAnywhere, now);
        w.failing = report.errorsPerSecond() > FAILING;
        if (w.failing) { // as though struck before: what must not be repeated is not how to find
            // out
            w.strikes = Math.max(w.strikes, 1);
            strike(w, true);
        } else if (free >= 1) {
            w.pausedUntil = w.strikes == 0 ? 0 : w.pausedUntil;
        }
    }

    /**
     * The share of free slots at workers like this one. Each dispatcher hears of few, and of a pool
     * just cut of none: what it lacks it takes from all warm, or all cold, workers, not from hope.
     */
    private double share(Worker w) {
        double anywhere = freeAnywhere[cold(w) ? 1 : 0].share(1, now);
        return w.pool == null ? anywhere : w.pool.like(w, cold(w)).share(anywhere, now);
    }

    private double freeShare(Pool pool) {
        return pool.members.stream().mapToDouble(this::share).average().orElse(1);
    }

    /**
     * Free slots as far as can be known: own jobs are known exactly; what others have there is what
     * reports leave beside the own mean, fading towards the pool's as a report ages. An own job
     * that waits there to start tells that there are none. Guards against reports a second old,
     * which show own jobs that have ended and lack those sent since: taken at their word they keep
     * jobs waiting beside free slots.
     */
    private double free(Worker w) {
        double slots = w.slots(kindSlots);
        double others =
                slots * (1 - share(w)) * (settings.schedulers() - 1) / settings.schedulers();
        if (!Double.isNaN(w.reportedFree)) {
            double fade = w.pool == null ? 0.5 : w.pool.time / (w.pool.time + (now - w.reportedAt));
            others += fade * (w.others - others);
        }
        int waiting = w.slotsNotStartedSince(now - START_US);
        double free = slots - w.own - others;
        free =
                cold(w)
                        ? Math.min(free, slots * rules.slowStartShareAt(now - w.started) - w.own)
                        : free;
        return waiting > 0 && settings.reportsJobStart() ? Math.min(free, -waiting) : free;
    }

    // ---- pools by offered load, and thresholds (the design's ordinary path)

    private void deal() {
        workers.values().forEach(w -> w.pool = null);
        List<Worker> running = workers.values().stream().filter(w -> w.running).toList();
        probes.cover(running);
        List<List<Worker>> members = dealing.deal(running, kindSlots, settings);
        for (int i = 0; i < pools.length; i++) {
            equip(pools[i], members.get(i), subjects ? POINTS : 1);
        }
        Arrays.stream(pools).forEach(this::release);
    }

    private void equip(Pool pool, List<Worker> members, int points) {
        if (!members.equals(pool.members) || pool.ring.length != members.size() * points) {
            pool.members = members;
            pool.ring = HashRing.of(members, points);
        }
        pool.full = false;
        int n = (int) Math.floor(pool.slots / pool.slotsPerJob);
        double k =
                AdmissionThreshold.search(
                        n,
                        pool.rate,
                        SECOND / pool.time,
                        aim(pool) / SECOND,
                        pool.of.priorityWeight(),
                        AdmissionThreshold.EPSILON);
        pool.share = Math.max(1, (int) Math.round(k / settings.schedulers()));
    }

    // ---- arrival, quota, admission

    private void arrived(JobArrived ask) {
        Pool pool = pools[ask.jobClass()];
        pool.slotsPerJob += 0.02 * (ask.slots() - pool.slotsPerJob);
        Job job = new Job(ask, now, orders++);
        jobs.put(ask.job(), job);
        pool.present++;
        actions.add(new SetTimer(ask.deadlineUs() - settings.tickUs(), OF_JOB + ask.job()));
        boolean within = quotas.takes(ask.tenant(), settings, now);
        job.near = near(pool, ask.affinityKey());
        Worker w =
                pool.hold.isEmpty() || ask.affinityKey() != null ? choose(pool, job, false) : null;
        // with a subject all dispatchers choose alike, so that only a report of that very worker
        // counts
        boolean known = ask.affinityKey() == null || w != null && !Double.isNaN(w.reportedFree);
        boolean seenFree = w != null && known && free(w) >= ask.slots();
        boolean beyond = !within && (!seenFree || freeShare(pool) < SPARE);
        beyondQuota += beyond ? 1 : 0;
        pool.arrivals += beyond ? 0 : 1;
        // in overload all would use their swing at once, so it shrinks as the pool fills
        double most = pool.share + SWING * Math.sqrt(pool.share) * Math.min(1, 2 * freeShare(pool));
        if (beyond || !mayWait()) {
            answer(job);
        } else if (pool.present > most && !seenFree) {
            Worker lent = ask.affinityKey() == null ? borrow(pool, job) : null;
            if (lent != null) {
                send(job, lent); // nobody is turned away beside a pool that is mostly free
            } else {
                answer(job);
            }
        } else if (w != null && !looksFirst(job)) {
            send(job, w);
        } else {
            hold(job);
            pool.full &= !looksFirst(job); // it asks others than those that were full
            release(pool);
        }
    }

    /** Where only probes report loads, a job asks some workers before it goes to one. */
    private boolean looksFirst(Job job) {
        boolean byProbe =
                settings.loadReporting() == LoadReporting.BY_PROBE && settings.limits().mayProbe();
        return byProbe && job.ask.affinityKey() == null && job.looksUntil == Long.MIN_VALUE;
    }

    /** Asks some workers that the job could go to; tells whether it waits for that. */
    private boolean looks(Pool pool, Job job) {
        if (!looksFirst(job)) {
            return false;
        }
        List<Worker> members = new ArrayList<>(pool.members);
        Collections.rotate(members, members.isEmpty() ? 0 : random.nextInt(members.size()));
        Predicate<Worker> may = w -> mayTake(w, job) && w.pace(now) <= SLOW && bearsProbe(w);
        return probes.look(job, members, settings.zone(), may, now, actions);
    }

    /**
     * The candidate with most room of those that have just reported enough, own zone first; or
     * null.
     */
    private Worker chooseCandidate(Job job) {
        return job.candidates.stream()
                .filter(w -> w.reportedAt >= job.arrived && mayTake(w, job))
                .filter(
                        w ->
                                free(w) >= job.ask.slots()
                                        && !(w.reportedMemory - w.sentMemory < job.ask.memory()))
                .max(Comparator.comparingDouble(w -> free(w) + nearness(w)))
                .orElse(null);
    }

    private double nearness(Worker w) {
        return w.zone == settings.zone()
                ? Math.max(ROOM, ZONE * settings.limits().crossZonePrice())
                : 0;
    }

    private void hold(Job job) {
        job.held = true;
        pools[job.ask.jobClass()].hold.add(job);
    }

    // ---- release to a worker with room

    private void release(Pool pool) {
        if (pool.full) {
            return;
        }
        List<Job> passed = new ArrayList<>(0);
        while (!pool.hold.isEmpty() && passed.size() <= PASS_OVER) {
            Job job = pool.hold.poll();
            if (!job.held) {
                continue;
            }
            if (looks(pool, job) || probes.isLooking(job, now)) {
                passed.add(job);
                continue;
            }
            Worker w = mayRepeat(job, job.risk) ? place(pool, job) : null;
            if (w != null) {
                job.held = false;
                send(job, w);
            } else if (!mayRepeat(job, job.risk) || !mayWait()) {
                answer(job); // its window, or the time that the list holds for, has ended while it
                // was held
            } else if (job.attempts.isEmpty() && !pool.hold.isEmpty() && pressed(job)) {
                answer(job); // others wait behind it, and served in order all would be just too
                // late
            } else {
                passed.add(job);
                probeFor(pool, job);
            }
        }
        pool.hold.addAll(passed);
        pool.full = !passed.isEmpty();
        if (!sweeping && Arrays.stream(pools).anyMatch(p -> !p.hold.isEmpty())) {
            sweeping = true;
            timer(SWEEP_US, SWEEP);
        }
    }

    private boolean pressed(Job job) {
        return now - job.arrived > LATE * slack(pools[job.ask.jobClass()]);
    }

    private Worker place(Pool pool, Job job) {
        if (job.risk != null && grouped(pool)) {
            return chooseInGroup(pool, job, w -> mayTake(w, job));
        }
        boolean anywhere = job.ask.affinityKey() == null;
        double patience = anywhere ? BORROW_AFTER * (aim(pool) - pool.time) : LATE * slack(pool);
        boolean waited = now - job.arrived >= patience;
        Worker candidate = chooseCandidate(job);
        Worker w = candidate != null ? candidate : choose(pool, job, waited);
        return w == null && waited ? borrow(pool, job) : w;
    }

    /**
     * A worker of a pool that earns less, or is mostly free, or any if none of the own may take the
     * job.
     */
    private Worker borrow(Pool pool, Job job) {
        boolean foreign =
                job.ask.eligibleWorkers() != null
                        && pool.members.stream().noneMatch(w -> job.ask.eligibleWorkers(w.id));
        boolean lost = pressed(job) || pool.members.stream().noneMatch(w -> mayTake(w, job));
        double spare = lost ? 0 : SPARE; // nothing is turned away beside a slot seen free
        for (Pool other : pools) {
            boolean spared = other.hold.isEmpty() && freeShare(other) >= spare;
            if (other != pool && (foreign || spared || pool.value() > other.value())) {
                Worker w = choose(other, job, true);
                if (w != null) {
                    borrowed++;
                    return w;
                }
            }
        }
        return null;
    }

    /**
     * Own zone first, the one with most room. A job with a subject keeps to as many of the next
     * workers on the ring as its subject's load needs, even to wait there a little: to fetch what
     * it needs costs more than a short wait.
     */
    private Worker choose(Pool pool, Job job, boolean far) {
        return choose(pool, job, far, w -> mayTake(w, job));
    }

    private Worker choose(Pool pool, Job job, boolean far, Predicate<Worker> may) {
        Worker[] ring = pool.ring;
        boolean anywhere = job.ask.affinityKey() == null;
        long hash =
                anywhere ? random.nextLong() : HashRing.mix(job.ask.affinityKey() + SUBJECT_SALT);
        int at = (int) Math.floorMod(hash, Math.max(1L, ring.length));
        int near = anywhere ? ring.length : job.near + (far ? 1 : 0);
        double least = ROOM - 1 - (anywhere || far ? 0 : QUEUE);
        // what a slow worker gets is late in any case, so it is the last resort of what would be
        // refused else
        Worker found = null;
        double most = 0;
        Worker before = null;
        for (int i = 0; i < Math.min(WALK, ring.length) && near > 0; i++) {
            Worker w = ring[(at + i) % ring.length];
            if (w == before || !may.test(w) || w.pace(now) > SLOW && !pressed(job)) {
                continue;
            }
            before = w;
            near--;
            double room = free(w) - job.ask.slots();
            if (room < least || w.reportedMemory - w.sentMemory < job.ask.memory()) {
                continue;
            }
            room += anywhere ? nearness(w) : 0;
            if (found == null || room > most) {
                found = w;
                most = room;
            }
        }
        return found;
    }

    /** How many workers a subject's load over all dispatchers needs. */
    private int near(Pool pool, Long subject) {
        if (subject == null || pool.members.isEmpty()) {
            return 1;
        }
        double asked = pool.askedFor(subject, now);
        double slots = pool.slots / pool.members.size();
        double load = asked / Pool.HEAT_US * settings.schedulers() * pool.median;
        return (int) Math.ceil(load / (slots * HEAT_FULL));
    }

    /**
     * A repeat that may have run goes only where repeats are dropped, even outside its pool (rule
     * 2).
     */
    private Worker chooseInGroup(Pool pool, Job job, Predicate<Worker> may) {
        Worker first = job.risk.worker;
        return workers.values().stream()
                .filter(w -> sameGroup(pool, w, first))
                .filter(w -> may.test(w) && free(w) >= job.ask.slots() + ROOM - 1)
                .findFirst()
                .orElse(null);
    }

    private static boolean grouped(Pool pool) {
        return pool.of.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                && pool.of.idempotencyScope() != IdempotencyScope.ALL_WORKERS;
    }

    private static boolean sameGroup(Pool pool, Worker one, Worker other) {
        return pool.of.idempotencyScope() == IdempotencyScope.ZONE
                ? one.zone == other.zone
                : one.cell == other.cell;
    }

    /**
     * Guards against workers that take jobs and answer none: an own job long out, and nothing back
     * since.
     */
    private boolean silent(Worker w) {
        Attempt first = w.out.isEmpty() ? null : w.out.get(0);
        return first != null
                && w.answeredAt <= first.sent
                && now - first.sent > SILENT * pools[first.job.ask.jobClass()].time;
    }

    private boolean mayTake(Worker w, Job job) {
        return mayUse(w) && couldTake(w, job);
    }

    /** Whether discovery's list, or the worker's own answer, allows to send to it (rule 3). */
    private boolean mayUse(Worker w) {
        return discovery.isUsable(now) || leases() && w.lease.isValid(now);
    }

    private boolean couldTake(Worker w, Job job) {
        int kind = pools[job.ask.jobClass()].of.workerKind();
        return w.running
                && now >= w.pausedUntil
                && (kind < 0 || kind == w.kind)
                && !silent(w)
                && job.ask.eligibleWorkers(w.id)
                && trusts(w, job)
                && coldAllows(w, cost(job));
    }

    /** A worker struck more than once is tried with what may be repeated, if there are others. */
    private boolean trusts(Worker w, Job job) {
        return w.strikes < 2
                || pools[job.ask.jobClass()].of.idempotency() == Idempotency.IDEMPOTENT
                || now > w.pausedUntil + TRUST_US
                || workers.values().stream().noneMatch(other -> other.running && other.strikes < 2);
    }

    private double cost(Job job) {
        return pools[job.ask.jobClass()].time * job.ask.slots() + ProbeScheduler.COST_US;
    }

    // ---- cold workers (rule 4)

    private boolean cold(Worker w) {
        return coldBudget.isCold(w, now);
    }

    private boolean coldAllows(Worker w, double cost) {
        return coldBudget.allows(w, cost, settings, freeSeen[w.kind], now);
    }

    // ---- attempts and their outcomes

    private void send(Job job, Worker w) {
        Attempt a = new Attempt(job, w, now);
        job.attempts.add(a);
        job.outstanding++;
        w.out.add(a);
        w.own(job.ask.slots(), now);
        w.sentMemory += job.ask.memory();
        coldBudget.spend(w, cost(job), now);
        actions.add(new Send(job.ask.job(), w.id, 0));
        if (settings.reportsJobStart()
                && settings.limits().mayCancel()
                && job.ask.affinityKey() == null
                && pools[job.ask.jobClass()].of.idempotency() != Idempotency.NOT_IDEMPOTENT) {
            timer(moveAfter(job), STARTED + job.ask.job());
        }
    }

    private long moveAfter(Job job) {
        return Math.max(MOVE_US, (long) (MOVE_PART * slack(pools[job.ask.jobClass()])));
    }

    /**
     * What may be repeated and has not started goes where there is room. Guards against moving
     * where few jobs start at once: queues are everywhere then, and where workers run on, each move
     * is load on top.
     */
    private void move(Job job) {
        Attempt a = job.attempts.get(job.attempts.size() - 1);
        if (!a.open
                || a.started != 0
                || job.outstanding != 1
                || now - a.sent < moveAfter(job)
                || job.attempts.size() >= settings.limits().maxAttempts()
                || job.runs + 1 >= job.ask.maxRuns()) {
            return;
        }
        Pool pool = pools[job.ask.jobClass()];
        boolean again = movesLeft >= 1 && mayRepeat(job, job.risk == null ? a : job.risk);
        if (again
                && workers.values().stream()
                        .anyMatch(
                                w ->
                                        w != a.worker
                                                && mayTake(w, job)
                                                && free(w) >= job.ask.slots()
                                                && (!grouped(pool)
                                                        || sameGroup(pool, w, a.worker)))) {
            strike(a.worker, true);
            moved++;
            movesLeft--;
            actions.add(new Cancel(job.ask.job(), job.attempts.size() - 1));
        } else {
            timer(MOVE_US, STARTED + job.ask.job());
        }
    }

    private Attempt attempt(String id, int number) {
        Job job = jobs.get(id);
        return job == null || number < 0 || number >= job.attempts.size()
                ? null
                : job.attempts.get(number);
    }

    private void attemptEnded(AttemptEnded e) {
        Attempt a = attempt(e.job(), e.attempt());
        if (a == null || !a.open) {
            return;
        }
        Job job = a.job;
        Worker w = a.worker;
        a.open = false;
        job.outstanding--;
        w.out.remove(a);
        w.own(-job.ask.slots(), now);
        w.others += w.fresh ? job.ask.slots() : 0; // not free until the next report says so
        w.answeredAt =
                e.outcome() == AttemptOutcome.SERVED || e.outcome() == AttemptOutcome.FULL
                        ? now
                        : w.answeredAt;
        reported(w, e.report(), false);
        if (settings.loadReporting()
                == LoadReporting.NONE) { // else only a report says that what was sent has left
            w.sentMemory = Math.max(0, w.sentMemory - job.ask.memory());
        }
        health(a, e.outcome());
        if (e.jobAnswered() && !job.ended) {
            end(job);
        } else if (!job.ended) {
            goOn(job, a, e.outcome());
        }
        forget(job);
        released(w.pool);
        released(pools[job.ask.jobClass()]);
    }

    private void released(Pool pool) {
        if (pool != null) {
            pool.full = false;
            release(pool);
        }
    }

    private void health(Attempt a, AttemptOutcome outcome) {
        Worker w = a.worker;
        switch (outcome) {
            case SERVED -> {
                w.strikes = w.failing ? w.strikes : 0;
                double took = now - (a.started == 0 ? a.sent : a.started);
                w.paced(pools[a.job.ask.jobClass()].timed(w, took), now);
            }
            case CANCELLED -> { // what has not started in its time says as much as a report
                if (settings.reportsJobStart() && a.started == 0 && now - a.sent > START_US) {
                    w.full(kindSlots, cold(w), freeAnywhere, now);
                }
            }
            case FULL -> {
                w.full(kindSlots, cold(w), freeAnywhere, now);
                w.pausedUntil =
                        Math.max(w.pausedUntil, now + FULL_US / 2 + random.nextLong(FULL_US));
            }
            // an error counts too: a worker that fails at once looks free, and would draw all there
            // is
            case ERROR, NOT_CONNECTED, TIMED_OUT -> {
                strike(w, w.suspect(outcome));
                if (outcome != AttemptOutcome.ERROR) {
                    w.lease.connectionFailed(now);
                }
            }
            case RESET -> { // a lost link alone says little about a worker that has just answered
                // on others
                w.lease.connectionFailed(now);
                if (now - w.answeredAt > ALIVE_US || w.strikes > 0) {
                    strike(w, true);
                }
            }
            default -> {}
        }
    }

    private void strike(Worker w, boolean suspect) {
        if (suspect && now >= w.pausedUntil) { // what fails together with the first is one failure
            long pause = PAUSE_US << Math.min(w.strikes++, MOST_DOUBLINGS);
            w.pausedUntil = now + pause / 2 + random.nextLong(pause);
        }
    }

    /**
     * An attempt has ended without serving: another if the class allows it, else the answer (rules
     * 1, 2).
     */
    private void goOn(Job job, Attempt a, AttemptOutcome outcome) {
        job.runs += outcome.provesNotRun() ? 0 : 1;
        if (!outcome.provesNotRun() && job.risk == null) {
            job.risk = a;
        }
        if (job.outstanding == 0
                && job.attempts.size() < settings.limits().maxAttempts()
                && mayRepeat(job, job.risk)
                && now < job.ask.deadlineUs() - settings.tickUs()) {
            hold(job);
        } else if (job.outstanding == 0) {
            answer(job);
        }
    }

    /** Whether it may be sent, if this (or null) is the first attempt that may have run. */
    private boolean mayRepeat(Job job, Attempt risk) {
        JobClass of = pools[job.ask.jobClass()].of;
        boolean again =
                of.idempotency() != Idempotency.NOT_IDEMPOTENT && job.runs < job.ask.maxRuns();
        return risk == null
                || again && of.idempotency() == Idempotency.IDEMPOTENT
                || again && now + settings.tickUs() < risk.sent + of.idempotencyWindowUs();
    }

    private boolean harmless(Job job) {
        JobClass of = pools[job.ask.jobClass()].of;
        boolean clean = job.risk == null && job.outstanding == 0;
        return clean
                || of.idempotency() == Idempotency.IDEMPOTENT
                || of.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && of.idempotencyScope() == IdempotencyScope.ALL_WORKERS;
    }

    /**
     * The final answer of a job that was not served: a refusal where that is harmless, else a
     * failure.
     */
    private void answer(Job job) {
        turnedAway++;
        Pool pool = pools[job.ask.jobClass()];
        actions.add(
                harmless(job)
                        ? new Reject(job.ask.job(), retryAfter(pool))
                        : new Fail(job.ask.job()));
        end(job);
    }

    /**
     * When there may be room: what the pool holds beyond its share, at the pace at which its jobs
     * end.
     */
    private long retryAfter(Pool pool) {
        double slots = Math.max(1, pool.slots / pool.slotsPerJob) / settings.schedulers();
        double excess = Math.max(1, pool.present - pool.share);
        return (long) Math.min(MOST_RETRY_US, excess * pool.time / slots);
    }

    private void end(Job job) {
        job.ended = true;
        job.held = false;
        pools[job.ask.jobClass()].present--;
        for (int i = 0; i < job.attempts.size() && settings.limits().mayCancel(); i++) {
            if (job.attempts.get(i).open) {
                actions.add(new Cancel(job.ask.job(), i));
            }
        }
        forget(job);
    }

    private void forget(Job job) {
        if (job.ended && job.outstanding == 0) {
            jobs.remove(job.ask.job());
        }
    }

    private void ifOpen(String id, Consumer<Job> then) {
        Job job = jobs.get(id);
        if (job != null && !job.ended) {
            then.accept(job);
        }
    }

    // ---- probes

    private void probe() {
        double own =
                Arrays.stream(pools).mapToDouble(pool -> pool.rate / settings.schedulers()).sum();
        probes.probeNext(own, SWEEP_US, settings.limits(), this::bearsProbe, now, actions);
        timer(SWEEP_US, PROBE);
    }

    /** Whether a worker bears the work of a probe; it is spent then. */
    private boolean bearsProbe(Worker w) {
        boolean bears = coldAllows(w, ProbeScheduler.COST_US);
        if (bears) {
            coldBudget.spend(w, ProbeScheduler.COST_US, now);
        }
        return bears;
    }

    /**
     * Whether a worker can be asked itself whether it takes work, and its answer holds for a while.
     */
    private boolean leases() {
        return settings.leasesWorkersByProbe()
                && discovery.graceUs() > 0
                && discovery.mayAskWorkers(now);
    }

    /**
     * Whether a job may wait: a list holds or may come any moment, or a worker can be asked itself.
     */
    private boolean mayWait() {
        return discovery.mayWait(now)
                || leases()
                        && workers.values().stream()
                                .anyMatch(
                                        w ->
                                                w.running
                                                        && (w.zone != settings.zone()
                                                                || discovery.wasHeard())
                                                        && w.lease.isWorthAwaiting(
                                                                discovery.heardUs(), now));
    }

    private boolean isWorthProbing(Worker w) {
        return (w.zone != settings.zone() || discovery.wasHeard())
                && w.lease.isWorthProbing(discovery.heardUs(), now);
    }

    /** While no list holds, asks the worker that the job would go to whether it takes work. */
    private void probeFor(Pool pool, Job job) {
        if (!leases() || discovery.isUsable(now) || probes.awaitsLease(job)) {
            return;
        }
        Predicate<Worker> asked = w -> couldTake(w, job) && isWorthProbing(w);
        boolean bound = job.risk != null && grouped(pool);
        Worker w = bound ? chooseInGroup(pool, job, asked) : choose(pool, job, false, asked);
        if (w != null && bearsProbe(w)) {
            probes.probeFor(job, w, settings.zone(), discovery.heardUs(), now, actions);
        }
    }

    private void probed(ProbeEnded e) {
        Worker w = workers.get(e.worker());
        if (w == null) {
            return;
        }
        probes.ended(w, e, settings.zone(), discovery.graceUs(), now);
        if (e.result().isHealthy()) {
            reported(w, e.report(), true);
        }
        released(w.pool);
    }

    // ---- for people to read

    /** Whether the worker may still be sent to, by discovery's list or by its own answer. */
    public boolean mayUse(String worker, long nowUs) {
        now = Math.max(now, nowUs);
        return workers.containsKey(worker) && mayUse(workers.get(worker));
    }

    /**
     * What a cold worker has had from here in its window, and what it bears; null if it is not
     * cold.
     */
    public SlowStartLoad coldLoad(String worker, int jobClass) {
        Worker w = workers.get(worker);
        if (w == null || !cold(w)) {
            return null;
        }
        return coldBudget.load(
                w, settings, freeSeen[w.kind], pools[jobClass].time + ProbeScheduler.COST_US, now);
    }

    /** How the pools stand, by class. */
    public List<PoolState> pools() {
        return PolicySnapshot.pools(pools, this::freeShare);
    }

    /** How the workers stand, by id; {@code nowUs} tells which of them are cold or paused. */
    public List<WorkerState> workers(long nowUs) {
        now = Math.max(now, nowUs);
        List<Pool> order = Arrays.asList(pools);
        return workers.values().stream()
                .map(
                        w ->
                                new WorkerState(
                                        w.id,
                                        w.zone,
                                        w.kind,
                                        w.running,
                                        cold(w),
                                        now < w.pausedUntil,
                                        w.out.size(),
                                        free(w),
                                        order.indexOf(w.pool),
                                        cold(w)
                                                ? coldBudget.part(
                                                        w, settings, freeSeen[w.kind], now)
                                                : 0))
                .toList();
    }

    private void log() {
        if (now - loggedAt >= LOG_US) {
            loggedAt = now;
            actions.add(
                    new Log(
                            PolicySnapshot.line(pools, this::freeShare)
                                    + " borrowed "
                                    + borrowed
                                    + " moved "
                                    + moved
                                    + " beyond quota "
                                    + beyondQuota
                                    + " turned away "
                                    + turnedAway
                                    + " slots "
                                    + Arrays.toString(kindSlots)));
        }
    }
}
