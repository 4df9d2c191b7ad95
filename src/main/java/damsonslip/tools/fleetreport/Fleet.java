package damsonslip.tools.fleetreport;

import damsonslip.tools.fleetreport.Second.Sum;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Follows every query of every scheduler. Lines have to come in the order of time. */
public final class Fleet {
    /** Given up sooner than this after it was taken, a query was never held. */
    private static final long AT_ONCE_US = 5_000;

    /** A job that has not started after this long waited in its worker's queue. */
    private static final long START_US = 80_000;

    /** Clients who come back within so long of each other come together. */
    private static final long CROWD_US = 100_000;

    /** A worker takes long when its jobs take this many times as long as usual. */
    private static final double SLOW = 2;

    /** Weight of a newest job in a mean, once a few are known. */
    private static final double WEIGHT = 0.05;

    /**
     * What the settings say of a class, and its jobs' mean time where they ran warm and
     * undisturbed.
     */
    private static final class JobClass {
        private double aimUs;
        private double stretch;
        private double worth;
        private final Mean time = new Mean();
    }

    private static final class Mean {
        private double value;
        private int count;

        void add(double next) {
            value += Math.max(WEIGHT, 1.0 / ++count) * (next - value);
        }
    }

    private static final class Scheduler {
        private final Map<String, Query> open = new HashMap<>();
        private final Map<String, Double> counts = new HashMap<>();
        private long listedUs;
    }

    private static final class Query {
        private long takenUs;
        private long untilUs;
        private int jobClass;
        private int slots;
        private Execution last;
        private int executions;
        private boolean stale;
    }

    private static final class Execution {
        private String to;
        private int slots;
        private long sentUs;
        private long startedUs;
        private boolean cold;
        private String ended = "";
    }

    /** A worker as the newest list that any scheduler heard has it, and what all have there. */
    static final class Worker {
        private long startedUs = Long.MIN_VALUE;
        private boolean running;

        /** The newest news of it is a job that started or a link that held. */
        private boolean reached;

        private int inUse;
        private int begun;
        private int most;
        private final Map<Integer, Mean> times = new HashMap<>();

        /**
         * Work begun while it was cold, by windows of the stated length since its start:
         * microseconds of slots.
         */
        final Map<Long, Double> coldWork = new TreeMap<>();

        /**
         * The most that all schedulers together took for theirs in such a window: each one's part,
         * as it saw it then.
         */
        final Map<Long, Map<String, Double>> coldParts = new TreeMap<>();

        int coldJobs;
        int coldLate;
    }

    final Map<Long, Second> seconds = new TreeMap<>();
    final Map<String, Worker> workers = new TreeMap<>();
    final Map<Loss, Double> worth = new EnumMap<>(Loss.class);
    final Map<Loss, Integer> losses = new EnumMap<>(Loss.class);
    private final Map<String, Scheduler> schedulers = new TreeMap<>();
    private final List<JobClass> classes = new ArrayList<>();
    private final Map<Long, Integer> dueBack = new HashMap<>();
    private long offsetUs;
    private double coldUs;
    double fallUs = 1;
    double fallMultiple;
    double earned;
    double offered;
    private Second second;

    /** Takes a scheduler's next line. */
    public void take(String name, Line line) {
        Scheduler scheduler = schedulers.computeIfAbsent(name, fresh -> new Scheduler());
        second = seconds.computeIfAbsent(line.atUs() / 1_000_000, fresh -> new Second());
        second.serving.add(name);
        switch (line.word()) {
            case "settings" -> begun(scheduler, line);
            case "class" -> jobClass(line);
            case "listed" -> listed(scheduler, line);
            case "worker" -> worker(line);
            case "asked" -> second.add(Sum.LIST_CALLS, 1);
            case "counters" -> counted(scheduler, line);
            case "cold" -> coldSeen(name, line);
            case "pool" ->
                    second.cuts
                            .computeIfAbsent(line.what(), fresh -> new Second.Cut())
                            .add(name, line);
            case "taken" -> taken(scheduler, line);
            case "sent" -> sent(scheduler, line);
            case "started" -> started(scheduler, line);
            case "ended" -> ended(scheduler, line);
            case "answered" -> answered(scheduler, line);
            default -> {}
        }
    }

    /** No more lines come: what is open stays so. */
    public void end() {
        schedulers.values().forEach(scheduler -> ended(scheduler, Loss.OPEN_AT_END));
    }

    int schedulers() {
        return schedulers.size();
    }

    private void begun(Scheduler scheduler, Line line) {
        ended(scheduler, Loss.SCHEDULER_ENDED); // in the same file a second beginning is a restart
        scheduler.counts.clear();
        scheduler.listedUs = 0;
        offsetUs = (long) line.number("atUs") - line.atUs();
        coldUs = line.number("coldUs");
        fallUs = Math.max(1, line.number("fallUs"));
        fallMultiple = line.number("fallMultiple");
    }

    private void ended(Scheduler scheduler, Loss why) {
        for (Query query : scheduler.open.values()) {
            if (query.last != null && query.last.ended.isEmpty()) {
                leave(query.last);
            }
            lost(why, query);
        }
        scheduler.open.clear();
    }

    private void jobClass(Line line) {
        int number = Integer.parseInt(line.what());
        while (classes.size() <= number) {
            classes.add(new JobClass());
        }
        JobClass of = classes.get(number);
        of.aimUs = line.number("aimUs");
        of.stretch = line.number("stretch");
        of.worth = line.number("worth");
    }

    private void listed(Scheduler scheduler, Line line) {
        if (line.what().equals("FAILED")) {
            second.add(Sum.LIST_FAILURES, 1);
        } else if (!line.what().equals("KEPT")) {
            scheduler.listedUs = line.atUs();
        }
    }

    private void worker(Line line) {
        Worker worker = workers.computeIfAbsent(line.what(), fresh -> new Worker());
        long started = (long) line.number("startedUs") - offsetUs;
        boolean running = line.text("is").equals("RUNNING");
        if (!running) {
            worker.running = false;
        } else if (started >= worker.startedUs) { // an older list that comes late says nothing new
            worker.running = true;
            worker.startedUs = started;
        }
    }

    private void counted(Scheduler scheduler, Line line) {
        second.add(Sum.LINKS, risen(scheduler, line, "server_links_opened"));
        second.add(Sum.IDLE_CLOSED, risen(scheduler, line, "server_links_closed_idle"));
        second.add(Sum.PROBES, risen(scheduler, line, "probes_sent"));
        if (scheduler.listedUs > 0) {
            second.oldestListUs = Math.max(second.oldestListUs, line.atUs() - scheduler.listedUs);
        }
    }

    private void coldSeen(String name, Line line) {
        Worker worker = workers.get(line.what());
        if (worker != null && line.atUs() >= worker.startedUs) {
            worker.coldParts
                    .computeIfAbsent(
                            (long) ((line.atUs() - worker.startedUs) / fallUs),
                            fresh -> new HashMap<>())
                    .merge(name, line.number("partUs"), Math::max);
        }
    }

    private static long risen(Scheduler scheduler, Line line, String name) {
        Double before = scheduler.counts.put(name, line.number(name));
        return (long) (line.number(name) - (before == null ? 0 : before));
    }

    // ---- a query's way

    private void taken(Scheduler scheduler, Line line) {
        Query query = new Query();
        query.takenUs = line.atUs();
        query.untilUs = (long) line.number("untilUs") - offsetUs;
        query.jobClass = (int) line.number("class");
        query.slots = (int) line.number("slots");
        scheduler.open.put(line.what(), query);
        second.add(Sum.TAKEN, 1);
        offered += worth(query);
    }

    private void sent(Scheduler scheduler, Line line) {
        Query query = scheduler.open.get(line.what());
        if (query == null) {
            return;
        }
        Worker worker = workers.computeIfAbsent(line.text("to"), fresh -> new Worker());
        Execution execution = new Execution();
        execution.to = line.text("to");
        execution.slots = query.slots;
        execution.sentUs = line.atUs();
        execution.cold = worker.running && line.atUs() - worker.startedUs < coldUs;
        query.stale |= !worker.running;
        query.last = execution;
        worker.inUse += query.slots;
        second.add(Sum.SENT, 1);
        second.add(Sum.AGAIN, query.executions++ > 0 ? 1 : 0);
        if (execution.cold) {
            second.add(Sum.TO_COLD, 1);
            worker.coldJobs++;
            worker.coldWork.merge(
                    (long) ((line.atUs() - worker.startedUs) / fallUs),
                    classes.get(query.jobClass).time.value * query.slots,
                    Double::sum);
        }
    }

    private void started(Scheduler scheduler, Line line) {
        Query query = scheduler.open.get(line.what());
        if (query != null && query.last != null && query.last.startedUs == 0) {
            query.last.startedUs = line.atUs();
            Worker worker = workers.get(query.last.to);
            worker.begun += query.slots;
            worker.most = Math.max(worker.most, worker.begun); // a slot that has run a job is there
            worker.reached = true;
        }
    }

    private void ended(Scheduler scheduler, Line line) {
        Query query = scheduler.open.get(line.what());
        String how = line.text("as");
        second.add(Sum.MOVED, how.equals("CANCELLED") ? 1 : 0);
        second.add(Sum.ERRORS, how.equals("ERROR") ? 1 : 0);
        if (query == null || query.last == null) {
            return;
        }
        Execution execution = query.last;
        leave(execution);
        execution.ended = how;
        workers.get(execution.to).reached &=
                !List.of("NOT_CONNECTED", "RESET", "TIMED_OUT").contains(how);
        if (how.equals("SERVED")) {
            double took =
                    line.atUs()
                            - (execution.startedUs > 0 ? execution.startedUs : execution.sentUs);
            workers.get(execution.to)
                    .times
                    .computeIfAbsent(query.jobClass, fresh -> new Mean())
                    .add(took);
            if (!execution.cold) {
                classes.get(query.jobClass).time.add(took);
            }
        }
    }

    private void leave(Execution execution) {
        Worker worker = workers.get(execution.to);
        worker.inUse -= execution.slots;
        worker.begun -= execution.startedUs > 0 ? execution.slots : 0;
    }

    private void answered(Scheduler scheduler, Line line) {
        Query query = scheduler.open.remove(line.what());
        if (query == null) {
            return;
        }
        switch (line.text("as")) {
            case "SERVED" -> served(query, line.atUs());
            case "THROTTLED" -> throttled(query, line);
            default -> second.add(Sum.FAILED, 1);
        }
        if (!line.text("as").equals("SERVED")) {
            lost(unserved(query, line.atUs()), query);
            if (query.last != null && query.last.ended.isEmpty()) {
                leave(query.last);
            }
        }
    }

    private void throttled(Query query, Line line) {
        second.add(reason(query, line.atUs()), 1);
        long backUs = line.atUs() + (long) line.number("retryUs");
        if (backUs > line.atUs()) {
            Second then = seconds.computeIfAbsent(backUs / 1_000_000, fresh -> new Second());
            then.add(Sum.DUE_BACK, 1);
            then.crowd = Math.max(then.crowd, dueBack.merge(backUs / CROWD_US, 1, Integer::sum));
        }
    }

    private static Sum reason(Query query, long now) {
        if (query.last != null) {
            return Sum.BROKEN;
        } else if (now - query.takenUs < AT_ONCE_US) {
            return Sum.REFUSED;
        }
        return now < query.untilUs - AT_ONCE_US ? Sum.GIVEN_UP : Sum.OUT_OF_TIME;
    }

    private void served(Query query, long now) {
        second.add(Sum.SERVED, 1);
        JobClass of = classes.get(query.jobClass);
        double excess = now - query.takenUs - (of.aimUs + of.stretch * of.time.value);
        if (excess <= 0) {
            earned += of.worth;
            return;
        }
        second.add(Sum.LATE, 1);
        Execution last = query.last;
        workers.get(last.to).coldLate += last.cold ? 1 : 0;
        lost(late(query, excess), query);
    }

    private Loss late(Query query, double excess) {
        Execution last = query.last;
        if (query.executions > 1) {
            return Loss.LATE_AFTER_MORE;
        } else if (last.cold) {
            return Loss.LATE_COLD;
        } else if (last.sentUs - query.takenUs > excess / 2) {
            return Loss.LATE_HOLD;
        } else if (last.startedUs - last.sentUs > Math.max(START_US, excess / 2)) {
            return Loss.LATE_QUEUE;
        }
        Mean there = workers.get(last.to).times.get(query.jobClass);
        return there.value > SLOW * classes.get(query.jobClass).time.value
                ? Loss.LATE_WORKER
                : Loss.LATE_LONG;
    }

    private Loss unserved(Query query, long now) {
        String how = query.last == null ? "" : query.last.ended;
        if (query.stale) {
            return Loss.STALE_LIST;
        } else if (query.last != null && !how.equals("CANCELLED") && !how.equals("FULL")) {
            return how.equals("ERROR")
                    ? Loss.AFTER_ERROR
                    : how.isEmpty() || how.equals("TIMED_OUT") ? Loss.AFTER_TIME : Loss.AFTER_LINK;
        }
        boolean room = room(now) >= query.slots;
        return now - query.takenUs < AT_ONCE_US
                ? room ? Loss.REFUSED_BESIDE_ROOM : Loss.REFUSED
                : room ? Loss.GIVEN_UP_BESIDE_ROOM : Loss.GIVEN_UP;
    }

    /**
     * Free slots of warm workers, as nobody could know them: what has run there at once, less what
     * all have there.
     */
    private int room(long now) {
        return workers.values().stream()
                .filter(w -> w.running && w.reached && now - w.startedUs >= coldUs)
                .mapToInt(w -> Math.max(0, w.most - w.inUse))
                .sum();
    }

    private void lost(Loss loss, Query query) {
        losses.merge(loss, 1, Integer::sum);
        worth.merge(loss, worth(query), Double::sum);
    }

    private double worth(Query query) {
        return query.jobClass < classes.size() ? classes.get(query.jobClass).worth : 0;
    }
}
