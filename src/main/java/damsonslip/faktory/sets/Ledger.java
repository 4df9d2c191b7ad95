package damsonslip.faktory.sets;

import damsonslip.store.JobRecord;
import damsonslip.store.JobRecord.Facts;
import damsonslip.store.JobRecord.State;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntPredicate;

/**
 * Where each open job is. Not thread-safe; the caller gives the time and keeps the store in step.
 *
 * <p>A queue's jobs stand in lanes, one for each class, by priority and then in order of arrival. A job that goes to the
 * module leaves its lane, and one that comes back from there unrun finds its old place again.
 */
public final class Ledger {
    /** A lane's key: the priority, turned round, in the upper bits, and the place in the order of arrival below. */
    private static final int PRIORITIES = 10;
    private static final int SEQ_BITS = 56;

    /**
     * How much may wait.
     *
     * @param waiting  jobs in queues, scheduled and up for a retry, all together
     * @param perQueue jobs in one queue
     * @param dead     dead jobs; of more, the oldest go
     * @param deadMs   how long a dead job is kept, in milliseconds
     */
    public record Limits(int waiting, int perQueue, int dead, long deadMs) { }

    /** An open job. */
    public static final class Entry {
        private JobRecord record;
        private final int jobClass;
        private boolean handed;
        private long notBeforeMs;
        private long enqueuedMs;

        private Entry(JobRecord record, int jobClass) {
            this.record = record;
            this.jobClass = jobClass;
        }

        public JobRecord record() {
            return record;
        }

        public int jobClass() {
            return jobClass;
        }

        public String id() {
            return record.id();
        }

        /** Whether the module has it, or a worker. */
        public boolean handed() {
            return handed;
        }

        /** When it came into its queue, in Unix time; 0 if it has not yet. */
        public long enqueuedMs() {
            return enqueuedMs;
        }
    }

    private record Due(long atMs, String id) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : id.compareTo(other.id);
        }
    }

    private record Lock(String id, long untilMs) { }

    /** How a batch's jobs stand. */
    static final class Tally {
        int open;
        int fresh;
    }

    private final Limits limits;
    private final Map<String, Entry> all = new HashMap<>();
    private final Map<State, NavigableMap<Due, Entry>> timed = new EnumMap<>(State.class);
    /** By class, then by queue. */
    private final List<Map<String, TreeMap<Long, Entry>>> lanes = new ArrayList<>();
    private final Map<String, Integer> queueSizes = new TreeMap<>();
    private final Set<String> paused = new TreeSet<>();
    private final Map<String, Lock> locks = new HashMap<>();
    private final Map<String, Tally> tallies = new HashMap<>();
    /** When each queue was served last, in turns. */
    private final Map<String, Long> served = new HashMap<>();
    private long turns;
    private int working;
    private int handed;
    private long lastSeq;

    public Ledger(int classes, Limits limits) {
        this.limits = limits;
        for (int i = 0; i < classes; i++) {
            lanes.add(new HashMap<>());
        }
        for (State state : List.of(State.SCHEDULED, State.RETRY, State.DEAD)) {
            timed.put(state, new TreeMap<>());
        }
    }

    // ---- what may come in

    /** Why no further job may wait in this queue; null if one may. */
    public String full(String queue) {
        if (all.size() - timed.get(State.DEAD).size() >= limits.waiting()) {
            return "too many jobs wait here; push it again later";
        }
        if (queueSizes.getOrDefault(queue, 0) >= limits.perQueue()) {
            return "too many jobs wait in queue " + queue + "; push it again later";
        }
        return null;
    }

    /** Takes what no other open job may have; tells false if one has it. */
    public boolean lock(String id, Facts facts, long nowMs) {
        if (facts.uniqueKey().isEmpty()) {
            return true;
        }
        Lock held = locks.get(facts.uniqueKey());
        if (held != null && held.untilMs > nowMs && !held.id.equals(id)) {
            return false;
        }
        locks.put(facts.uniqueKey(), new Lock(id, facts.uniqueMs()));
        return true;
    }

    /** Gives it back. */
    public void unlock(String id, Facts facts) {
        locks.computeIfPresent(facts.uniqueKey(), (key, held) -> held.id.equals(id) ? null : held);
    }

    /** The next place in the order of arrival. */
    public long nextSeq() {
        return ++lastSeq;
    }

    // ---- jobs come, move and go

    public Entry get(String id) {
        return all.get(id);
    }

    public Entry add(JobRecord record, int jobClass) {
        Entry entry = new Entry(record, jobClass);
        if (all.putIfAbsent(record.id(), entry) != null) {
            throw new IllegalArgumentException("a job that is here already: " + record.id());
        }
        lastSeq = Math.max(lastSeq, record.seq());
        if (!record.facts().uniqueKey().isEmpty() && !(record.facts().untilStart() && !record.neverRan())) {
            locks.putIfAbsent(record.facts().uniqueKey(), new Lock(record.id(), record.facts().uniqueMs()));
        }
        place(entry, 1);
        return entry;
    }

    /** The job's record is another one from now on, and with it, it may be, its set. */
    public void move(Entry entry, JobRecord next) {
        place(entry, -1);
        entry.record = next;
        entry.notBeforeMs = 0;
        if (next.state() == State.RESERVED && next.facts().untilStart()) {
            unlock(entry.id(), next.facts());
        }
        place(entry, 1);
    }

    /** The job is over, or forgotten. */
    public void remove(Entry entry) {
        if (all.remove(entry.id(), entry)) {
            place(entry, -1);
            unlock(entry.id(), entry.record.facts());
        }
    }

    /** The module has it from now on. */
    public void handOver(Entry entry) {
        place(entry, -1);
        entry.handed = true;
        place(entry, 1);
    }

    /** The module has it no more; it waits in its old place, and is not offered again before that time. */
    public void comesBack(Entry entry, long notBeforeMs) {
        place(entry, -1);
        entry.handed = false;
        entry.notBeforeMs = notBeforeMs;
        place(entry, 1);
    }

    public void enqueued(Entry entry, long nowMs) {
        entry.enqueuedMs = nowMs;
    }

    private void place(Entry entry, int sign) {
        JobRecord record = entry.record;
        if (!record.facts().bid().isEmpty()) {
            tally(record, sign);
        }
        handed += entry.handed ? sign : 0;
        switch (record.state()) {
            case QUEUED -> {
                queueSizes.merge(record.facts().queue(), sign, (a, b) -> a + b == 0 ? null : a + b);
                if (!entry.handed) {
                    lane(entry, sign);
                }
            }
            case RESERVED -> working += sign;
            default -> {
                Due due = new Due(record.dueMs(), record.id());
                if (sign > 0) {
                    timed.get(record.state()).put(due, entry);
                } else {
                    timed.get(record.state()).remove(due);
                }
            }
        }
    }

    private void lane(Entry entry, int sign) {
        Map<String, TreeMap<Long, Entry>> queues = lanes.get(entry.jobClass);
        Facts facts = entry.record.facts();
        long order = (long) (PRIORITIES - facts.priority()) << SEQ_BITS | entry.record.seq();
        if (sign > 0) {
            queues.computeIfAbsent(facts.queue(), name -> new TreeMap<>()).put(order, entry);
        } else {
            TreeMap<Long, Entry> lane = queues.get(facts.queue());
            if (lane != null && lane.remove(order) != null && lane.isEmpty()) {
                queues.remove(facts.queue());
                served.remove(facts.queue());
            }
        }
    }

    private void tally(JobRecord record, int sign) {
        Tally tally = tallies.computeIfAbsent(record.facts().bid(), bid -> new Tally());
        tally.open += sign;
        tally.fresh += record.failure() == null && record.state() != State.DEAD ? sign : 0;
        if (tally.open == 0) {
            tallies.remove(record.facts().bid());
        }
    }

    Tally tally(String bid) {
        return tallies.getOrDefault(bid, new Tally());
    }

    // ---- what is next

    /**
     * The job that is to be offered to the module next for a worker that fetches from these queues; null if none is.
     *
     * @param queues in the worker's order: the first that has a job is served, as the protocol has it
     * @param fair   the queue that was served longest ago comes first instead
     * @param open   which classes may be offered now
     */
    public Entry next(List<String> queues, boolean fair, long nowMs, IntPredicate open) {
        List<String> order = queues;
        if (fair && queues.size() > 1) {
            order = new ArrayList<>(queues);
            order.sort(Comparator.comparingLong(queue -> served.getOrDefault(queue, 0L)));
        }
        for (String queue : order) {
            Entry next = paused.contains(queue) ? null : first(queue, nowMs, open);
            if (next != null) {
                served.put(queue, ++turns);
                return next;
            }
        }
        return null;
    }

    /** The first of a queue, by priority and arrival, among the classes that may be offered. */
    private Entry first(String queue, long nowMs, IntPredicate open) {
        Entry found = null;
        long least = Long.MAX_VALUE;
        for (int jobClass = 0; jobClass < lanes.size(); jobClass++) {
            TreeMap<Long, Entry> lane = lanes.get(jobClass).get(queue);
            if (lane != null && lane.firstKey() < least && open.test(jobClass)
                && lane.firstEntry().getValue().notBeforeMs <= nowMs) {
                least = lane.firstKey();
                found = lane.firstEntry().getValue();
            }
        }
        return found;
    }

    /** Whether a class has jobs that wait to be offered. */
    public boolean waits(int jobClass) {
        return !lanes.get(jobClass).isEmpty();
    }

    /** Scheduled jobs and retries whose time has come, the earliest first, so many at the most. */
    public List<Entry> due(long nowMs, int most) {
        List<Entry> found = new ArrayList<>();
        for (State state : List.of(State.RETRY, State.SCHEDULED)) {
            for (Map.Entry<Due, Entry> each : timed.get(state).entrySet()) {
                if (each.getKey().atMs > nowMs || found.size() >= most) {
                    break;
                }
                found.add(each.getValue());
            }
        }
        return found;
    }

    /** Dead jobs that are older than they are kept, or more than are kept. */
    public List<Entry> deadTooLong(long nowMs) {
        List<Entry> found = new ArrayList<>();
        int surplus = timed.get(State.DEAD).size() - limits.dead();
        for (Map.Entry<Due, Entry> each : timed.get(State.DEAD).entrySet()) {
            if (found.size() >= surplus && each.getKey().atMs + limits.deadMs() > nowMs) {
                break;
            }
            found.add(each.getValue());
        }
        return found;
    }

    // ---- queues

    /** Whether this changed anything. */
    public boolean pause(String queue) {
        return paused.add(queue);
    }

    public boolean resume(String queue) {
        return paused.remove(queue);
    }

    public boolean paused(String queue) {
        return paused.contains(queue);
    }

    public Set<String> paused() {
        return Set.copyOf(paused);
    }

    /** Jobs that wait in each queue that has some. */
    public Map<String, Integer> queues() {
        return new TreeMap<>(queueSizes);
    }

    /** The jobs that wait in a queue and that the module does not have. */
    public List<Entry> inQueue(String queue) {
        List<Entry> found = new ArrayList<>();
        lanes.forEach(queues -> found.addAll(queues.getOrDefault(queue, new TreeMap<>()).values()));
        return found;
    }

    // ---- sets

    public int size(State state) {
        return switch (state) {
            case QUEUED -> queueSizes.values().stream().mapToInt(Integer::intValue).sum();
            case RESERVED -> working;
            default -> timed.containsKey(state) ? timed.get(state).size() : 0;
        };
    }

    /** The jobs of a timed set, the earliest first. */
    public Collection<Entry> in(State state) {
        return List.copyOf(timed.get(state).values());
    }

    /** Open jobs in all. */
    public int size() {
        return all.size();
    }

    /** Jobs that the module or a worker has. */
    public int handed() {
        return handed;
    }

    public List<Entry> all() {
        return List.copyOf(all.values());
    }

    /** Forgets locks whose time is over; they are few beside jobs, so that this may go over all of them. */
    public void forgetLocks(long nowMs) {
        for (Iterator<Lock> each = locks.values().iterator(); each.hasNext();) {
            if (each.next().untilMs <= nowMs) {
                each.remove();
            }
        }
    }
}
