package damsonslip.tools.fleetreport;

import damsonslip.tools.fleetreport.Second.Sum;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Follows every request of every scheduler and adds up what happened. Lines must be added in order
 * of time.
 */
public final class Fleet {
    /**
     * A request that ends unserved within this time of its arrival was never queued; one that is
     * rejected within this time of its deadline, or later, ran out of time.
     */
    private static final long IMMEDIATE_US = 5_000;

    /** A job that starts later than this after it was sent has waited in its worker's queue. */
    private static final long MAX_START_DELAY_US = 80_000;

    /** Clients whose Retry-After ends in the same interval of this length count as one burst. */
    private static final long RETRY_BURST_US = 100_000;

    /** A worker is slow if its mean run time exceeds this multiple of the class's mean. */
    private static final double SLOW_WORKER_FACTOR = 2;

    /** Weight of the newest sample in a mean; while there are few samples, all weigh the same. */
    private static final double MIN_SAMPLE_WEIGHT = 0.05;

    /** Settings of a job class, and the mean run time of its jobs on workers past slow start. */
    private static final class JobClass {
        private double latencyObjectiveUs;
        private double runTimeFactor;
        private double priorityWeight;
        private final Mean meanRunTime = new Mean();
    }

    private static final class Mean {
        private double value;
        private int count;

        void add(double next) {
            value += Math.max(MIN_SAMPLE_WEIGHT, 1.0 / ++count) * (next - value);
        }
    }

    private static final class Scheduler {
        private final Map<String, Request> openRequests = new HashMap<>();
        private final Map<String, Double> previousCounts = new HashMap<>();
        private long workerListUs;
    }

    private static final class Request {
        private long acceptedUs;
        private long deadlineUs;
        private int jobClass;
        private int slots;
        private Attempt lastAttempt;
        private int attempts;
        private boolean sentToStoppedWorker;
    }

    private static final class Attempt {
        private String worker;
        private int slots;
        private long sentUs;
        private long startedUs;
        private boolean slowStart;
        private String outcome = "";
    }

    /** A worker's state in the newest list of any scheduler, and the attempts of all on it. */
    static final class Worker {
        private long startedUs = Long.MIN_VALUE;
        private boolean running;

        /** Whether a job has started there since the last connection fault or timeout. */
        private boolean reachable;

        private int slotsInUse;
        private int startedSlots;
        private int maxStartedSlots;
        private final Map<Integer, Mean> meanRunTimes = new HashMap<>();

        /**
         * Expected work of the jobs sent during slow start, in slot-microseconds, by overload
         * window since the worker's start.
         */
        final Map<Long, Double> slowStartWork = new TreeMap<>();

        /**
         * Largest slow start budget that each scheduler reported in an overload window, by window
         * and scheduler.
         */
        final Map<Long, Map<String, Double>> slowStartBudgets = new TreeMap<>();

        int slowStartJobs;
        int slowStartLate;
    }

    final Map<Long, Second> seconds = new TreeMap<>();
    final Map<String, Worker> workers = new TreeMap<>();
    final Map<Loss, Double> lostWeight = new EnumMap<>(Loss.class);
    final Map<Loss, Integer> losses = new EnumMap<>(Loss.class);
    private final Map<String, Scheduler> schedulers = new TreeMap<>();
    private final List<JobClass> classes = new ArrayList<>();
    private final Map<Long, Integer> retriesDue = new HashMap<>();
    private long offsetUs;
    private double slowStartUs;
    double overloadWindowUs = 1;
    double overloadFactor;
    double earnedWeight;
    double offeredWeight;
    private Second second;

    /** Adds a scheduler's next line. */
    public void add(String name, TraceLine line) {
        Scheduler scheduler = schedulers.computeIfAbsent(name, key -> new Scheduler());
        second = seconds.computeIfAbsent(line.atUs() / 1_000_000, key -> new Second());
        second.schedulers.add(name);
        switch (line.kind()) {
            case "settings" -> settings(scheduler, line);
            case "class" -> jobClass(line);
            case "listed" -> listed(scheduler, line);
            case "worker" -> worker(line);
            case "asked" -> second.add(Sum.LIST_CALLS, 1);
            case "counters" -> counters(scheduler, line);
            case "cold" -> slowStartBudget(name, line);
            case "pool" ->
                    second.pools
                            .computeIfAbsent(line.subject(), key -> new Second.Pool())
                            .add(name, line);
            case "taken" -> accepted(scheduler, line);
            case "sent" -> sent(scheduler, line);
            case "started" -> started(scheduler, line);
            case "ended" -> attemptEnded(scheduler, line);
            case "answered" -> answered(scheduler, line);
            default -> {}
        }
    }

    /** Ends the input: requests without an answer count as {@link Loss#OPEN_AT_END}. */
    public void end() {
        schedulers.values().forEach(scheduler -> closeRequests(scheduler, Loss.OPEN_AT_END));
    }

    int schedulers() {
        return schedulers.size();
    }

    private void settings(Scheduler scheduler, TraceLine line) {
        // settings written again in the same log mean a restart
        closeRequests(scheduler, Loss.SCHEDULER_ENDED);
        scheduler.previousCounts.clear();
        scheduler.workerListUs = 0;
        offsetUs = (long) line.number("atUs") - line.atUs();
        slowStartUs = line.number("coldUs");
        overloadWindowUs = Math.max(1, line.number("fallUs"));
        overloadFactor = line.number("fallMultiple");
    }

    private void closeRequests(Scheduler scheduler, Loss reason) {
        for (Request request : scheduler.openRequests.values()) {
            if (request.lastAttempt != null && request.lastAttempt.outcome.isEmpty()) {
                releaseSlots(request.lastAttempt);
            }
            addLoss(reason, request);
        }
        scheduler.openRequests.clear();
    }

    private void jobClass(TraceLine line) {
        int number = Integer.parseInt(line.subject());
        while (classes.size() <= number) {
            classes.add(new JobClass());
        }
        JobClass jobClass = classes.get(number);
        jobClass.latencyObjectiveUs = line.number("aimUs");
        jobClass.runTimeFactor = line.number("stretch");
        jobClass.priorityWeight = line.number("worth");
    }

    private void listed(Scheduler scheduler, TraceLine line) {
        if (line.subject().equals("FAILED")) {
            second.add(Sum.LIST_FAILURES, 1);
        } else if (!line.subject().equals("KEPT")) {
            scheduler.workerListUs = line.atUs();
        }
    }

    private void worker(TraceLine line) {
        Worker worker = workers.computeIfAbsent(line.subject(), key -> new Worker());
        long started = (long) line.number("startedUs") - offsetUs;
        boolean running = line.text("is").equals("RUNNING");
        if (!running) {
            worker.running = false;
        } else if (started >= worker.startedUs) { // ignores an older list that comes late
            worker.running = true;
            worker.startedUs = started;
        }
    }

    private void counters(Scheduler scheduler, TraceLine line) {
        second.add(Sum.LINKS, increase(scheduler, line, "server_links_opened"));
        second.add(Sum.IDLE_CLOSED, increase(scheduler, line, "server_links_closed_idle"));
        second.add(Sum.PROBES, increase(scheduler, line, "probes_sent"));
        if (scheduler.workerListUs > 0) {
            second.maxListAgeUs =
                    Math.max(second.maxListAgeUs, line.atUs() - scheduler.workerListUs);
        }
    }

    private void slowStartBudget(String name, TraceLine line) {
        Worker worker = workers.get(line.subject());
        if (worker != null && line.atUs() >= worker.startedUs) {
            worker.slowStartBudgets
                    .computeIfAbsent(
                            (long) ((line.atUs() - worker.startedUs) / overloadWindowUs),
                            key -> new HashMap<>())
                    .merge(name, line.number("partUs"), Math::max);
        }
    }

    private static long increase(Scheduler scheduler, TraceLine line, String name) {
        Double before = scheduler.previousCounts.put(name, line.number(name));
        return (long) (line.number(name) - (before == null ? 0 : before));
    }

    private void accepted(Scheduler scheduler, TraceLine line) {
        Request request = new Request();
        request.acceptedUs = line.atUs();
        request.deadlineUs = (long) line.number("untilUs") - offsetUs;
        request.jobClass = (int) line.number("class");
        request.slots = (int) line.number("slots");
        scheduler.openRequests.put(line.subject(), request);
        second.add(Sum.TAKEN, 1);
        offeredWeight += priorityWeight(request);
    }

    private void sent(Scheduler scheduler, TraceLine line) {
        Request request = scheduler.openRequests.get(line.subject());
        if (request == null) {
            return;
        }
        Worker worker = workers.computeIfAbsent(line.text("to"), key -> new Worker());
        Attempt attempt = new Attempt();
        attempt.worker = line.text("to");
        attempt.slots = request.slots;
        attempt.sentUs = line.atUs();
        attempt.slowStart = worker.running && line.atUs() - worker.startedUs < slowStartUs;
        request.sentToStoppedWorker |= !worker.running;
        request.lastAttempt = attempt;
        worker.slotsInUse += request.slots;
        second.add(Sum.SENT, 1);
        second.add(Sum.AGAIN, request.attempts++ > 0 ? 1 : 0);
        if (attempt.slowStart) {
            second.add(Sum.TO_COLD, 1);
            worker.slowStartJobs++;
            worker.slowStartWork.merge(
                    (long) ((line.atUs() - worker.startedUs) / overloadWindowUs),
                    classes.get(request.jobClass).meanRunTime.value * request.slots,
                    Double::sum);
        }
    }

    private void started(Scheduler scheduler, TraceLine line) {
        Request request = scheduler.openRequests.get(line.subject());
        if (request != null && request.lastAttempt != null && request.lastAttempt.startedUs == 0) {
            request.lastAttempt.startedUs = line.atUs();
            Worker worker = workers.get(request.lastAttempt.worker);
            worker.startedSlots += request.slots;
            // a slot that has run a job exists
            worker.maxStartedSlots = Math.max(worker.maxStartedSlots, worker.startedSlots);
            worker.reachable = true;
        }
    }

    private void attemptEnded(Scheduler scheduler, TraceLine line) {
        Request request = scheduler.openRequests.get(line.subject());
        String outcome = line.text("as");
        second.add(Sum.MOVED, outcome.equals("CANCELLED") ? 1 : 0);
        second.add(Sum.ERRORS, outcome.equals("ERROR") ? 1 : 0);
        if (request == null || request.lastAttempt == null) {
            return;
        }
        Attempt attempt = request.lastAttempt;
        releaseSlots(attempt);
        attempt.outcome = outcome;
        workers.get(attempt.worker).reachable &=
                !List.of("NOT_CONNECTED", "RESET", "TIMED_OUT").contains(outcome);
        if (outcome.equals("SERVED")) {
            double runTimeUs =
                    line.atUs() - (attempt.startedUs > 0 ? attempt.startedUs : attempt.sentUs);
            workers.get(attempt.worker)
                    .meanRunTimes
                    .computeIfAbsent(request.jobClass, key -> new Mean())
                    .add(runTimeUs);
            if (!attempt.slowStart) {
                classes.get(request.jobClass).meanRunTime.add(runTimeUs);
            }
        }
    }

    private void releaseSlots(Attempt attempt) {
        Worker worker = workers.get(attempt.worker);
        worker.slotsInUse -= attempt.slots;
        worker.startedSlots -= attempt.startedUs > 0 ? attempt.slots : 0;
    }

    private void answered(Scheduler scheduler, TraceLine line) {
        Request request = scheduler.openRequests.remove(line.subject());
        if (request == null) {
            return;
        }
        switch (line.text("as")) {
            case "SERVED" -> served(request, line.atUs());
            case "THROTTLED" -> throttled(request, line);
            default -> second.add(Sum.FAILED, 1);
        }
        if (!line.text("as").equals("SERVED")) {
            addLoss(unservedReason(request, line.atUs()), request);
            if (request.lastAttempt != null && request.lastAttempt.outcome.isEmpty()) {
                releaseSlots(request.lastAttempt);
            }
        }
    }

    private void throttled(Request request, TraceLine line) {
        second.add(rejectionCounter(request, line.atUs()), 1);
        long retryUs = line.atUs() + (long) line.number("retryUs");
        if (retryUs > line.atUs()) {
            Second then = seconds.computeIfAbsent(retryUs / 1_000_000, key -> new Second());
            then.add(Sum.DUE_BACK, 1);
            then.maxRetryBurst =
                    Math.max(
                            then.maxRetryBurst,
                            retriesDue.merge(retryUs / RETRY_BURST_US, 1, Integer::sum));
        }
    }

    private static Sum rejectionCounter(Request request, long now) {
        if (request.lastAttempt != null) {
            return Sum.BROKEN;
        } else if (now - request.acceptedUs < IMMEDIATE_US) {
            return Sum.REFUSED;
        }
        return now < request.deadlineUs - IMMEDIATE_US ? Sum.GIVEN_UP : Sum.OUT_OF_TIME;
    }

    private void served(Request request, long now) {
        second.add(Sum.SERVED, 1);
        JobClass jobClass = classes.get(request.jobClass);
        double excess =
                now
                        - request.acceptedUs
                        - (jobClass.latencyObjectiveUs
                                + jobClass.runTimeFactor * jobClass.meanRunTime.value);
        if (excess <= 0) {
            earnedWeight += jobClass.priorityWeight;
            return;
        }
        second.add(Sum.LATE, 1);
        Attempt lastAttempt = request.lastAttempt;
        workers.get(lastAttempt.worker).slowStartLate += lastAttempt.slowStart ? 1 : 0;
        addLoss(lateReason(request, excess), request);
    }

    private Loss lateReason(Request request, double excess) {
        Attempt lastAttempt = request.lastAttempt;
        if (request.attempts > 1) {
            return Loss.LATE_AFTER_MORE;
        } else if (lastAttempt.slowStart) {
            return Loss.LATE_COLD;
        } else if (lastAttempt.sentUs - request.acceptedUs > excess / 2) {
            return Loss.LATE_HOLD;
        } else if (lastAttempt.startedUs - lastAttempt.sentUs
                > Math.max(MAX_START_DELAY_US, excess / 2)) {
            return Loss.LATE_QUEUE;
        }
        Mean onWorker = workers.get(lastAttempt.worker).meanRunTimes.get(request.jobClass);
        return onWorker.value > SLOW_WORKER_FACTOR * classes.get(request.jobClass).meanRunTime.value
                ? Loss.LATE_WORKER
                : Loss.LATE_LONG;
    }

    private Loss unservedReason(Request request, long now) {
        String outcome = request.lastAttempt == null ? "" : request.lastAttempt.outcome;
        if (request.sentToStoppedWorker) {
            return Loss.STALE_LIST;
        } else if (request.lastAttempt != null
                && !outcome.equals("CANCELLED")
                && !outcome.equals("FULL")) {
            return outcome.equals("ERROR")
                    ? Loss.AFTER_ERROR
                    : outcome.isEmpty() || outcome.equals("TIMED_OUT")
                            ? Loss.AFTER_TIME
                            : Loss.AFTER_LINK;
        }
        boolean hasFreeSlots = freeWarmSlots(now) >= request.slots;
        return now - request.acceptedUs < IMMEDIATE_US
                ? hasFreeSlots ? Loss.REFUSED_BESIDE_ROOM : Loss.REFUSED
                : hasFreeSlots ? Loss.GIVEN_UP_BESIDE_ROOM : Loss.GIVEN_UP;
    }

    /**
     * Estimates the free slots of running, reachable workers past slow start: the largest number of
     * slots that were busy at once, less those in use by all schedulers. No single scheduler could
     * have known this figure.
     */
    private int freeWarmSlots(long now) {
        return workers.values().stream()
                .filter(w -> w.running && w.reachable && now - w.startedUs >= slowStartUs)
                .mapToInt(w -> Math.max(0, w.maxStartedSlots - w.slotsInUse))
                .sum();
    }

    private void addLoss(Loss loss, Request request) {
        losses.merge(loss, 1, Integer::sum);
        lostWeight.merge(loss, priorityWeight(request), Double::sum);
    }

    private double priorityWeight(Request request) {
        return request.jobClass < classes.size() ? classes.get(request.jobClass).priorityWeight : 0;
    }
}
