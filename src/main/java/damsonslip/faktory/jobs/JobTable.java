package damsonslip.faktory.jobs;

import damsonslip.store.JobRecord;
import damsonslip.store.JobRecord.Options;
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
 * The open jobs of this scheduler with the set that each is in: queued, scheduled, waiting for a
 * retry, dead, or reserved by a worker. Holds records without bodies, and the locks of unique jobs.
 *
 * <p>A queue's jobs are kept in class queues, one for each job class, by priority and then by
 * arrival. A job that is dispatched to the decision module leaves its class queue; one that comes
 * back without having run returns to its old position.
 *
 * <p>Not thread-safe. The caller passes the time, in milliseconds since the Unix epoch, and keeps
 * the store in step.
 */
public final class JobTable {
    /** Above the highest priority of the protocol, which is 9. */
    private static final int PRIORITIES = 10;

    /**
     * A class queue's sort key has the inverted priority above these bits and the sequence number
     * in them.
     */
    private static final int SEQUENCE_BITS = 56;

    /**
     * The table's limits.
     *
     * @param maxWaiting most jobs in queues, scheduled and waiting for a retry, all together
     * @param maxPerQueue most jobs in one queue
     * @param maxDead most dead jobs; beyond that the oldest are removed
     * @param deadRetentionMs how long a dead job is kept, in milliseconds
     */
    public record Limits(int maxWaiting, int maxPerQueue, int maxDead, long deadRetentionMs) {}

    /** An open job and its position. Changed by the table only. */
    public static final class Entry {
        private JobRecord record;
        private final int jobClass;
        private boolean dispatched;
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

        /** Whether the decision module or a worker has it. */
        public boolean isDispatched() {
            return dispatched;
        }

        /**
         * When it entered its queue, in milliseconds since the Unix epoch; 0 if it has not been in
         * one.
         */
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

    private record UniqueLock(String id, long untilMs) {}

    /** The number of a batch's open jobs, and of those among them that have not failed yet. */
    static final class BatchCounts {
        int open;
        int neverFailed;
    }

    private final Limits limits;
    private final Map<String, Entry> all = new HashMap<>();
    private final Map<State, NavigableMap<Due, Entry>> timed = new EnumMap<>(State.class);

    /** By class, then by queue name. */
    private final List<Map<String, TreeMap<Long, Entry>>> classQueues = new ArrayList<>();

    private final Map<String, Integer> queueSizes = new TreeMap<>();
    private final Set<String> paused = new TreeSet<>();
    private final Map<String, UniqueLock> locks = new HashMap<>();
    private final Map<String, BatchCounts> batches = new HashMap<>();

    /** The turn in which each queue was served last, for fair order. */
    private final Map<String, Long> served = new HashMap<>();

    private long turns;
    private int working;
    private int dispatchedCount;
    private long lastSequence;

    public JobTable(int classes, Limits limits) {
        this.limits = limits;
        for (int i = 0; i < classes; i++) {
            classQueues.add(new HashMap<>());
        }
        for (State state : List.of(State.SCHEDULED, State.RETRY, State.DEAD)) {
            timed.put(state, new TreeMap<>());
        }
    }

    // ---- admission

    /** Why no further job may wait in this queue; null if one may. */
    public String rejectionReason(String queue) {
        if (all.size() - timed.get(State.DEAD).size() >= limits.maxWaiting()) {
            return "too many jobs wait here; push it again later";
        }
        if (queueSizes.getOrDefault(queue, 0) >= limits.maxPerQueue()) {
            return "too many jobs wait in queue " + queue + "; push it again later";
        }
        return null;
    }

    /** Takes a unique job's lock; returns false if another open job holds it. */
    public boolean lockUnique(String id, Options facts, long nowMs) {
        if (facts.uniqueKey().isEmpty()) {
            return true;
        }
        UniqueLock held = locks.get(facts.uniqueKey());
        if (held != null && held.untilMs > nowMs && !held.id.equals(id)) {
            return false;
        }
        locks.put(facts.uniqueKey(), new UniqueLock(id, facts.uniqueUntilMs()));
        return true;
    }

    /** Releases a unique job's lock, if this job holds it. */
    public void unlockUnique(String id, Options facts) {
        locks.computeIfPresent(facts.uniqueKey(), (key, held) -> held.id.equals(id) ? null : held);
    }

    /** The next sequence number in the order of arrival. */
    public long nextSequence() {
        return ++lastSequence;
    }

    // ---- lifecycle

    public Entry get(String id) {
        return all.get(id);
    }

    /**
     * Adds an open job.
     *
     * @throws IllegalArgumentException if the table has a job of this id
     */
    public Entry add(JobRecord record, int jobClass) {
        Entry entry = new Entry(record, jobClass);
        if (all.putIfAbsent(record.id(), entry) != null) {
            throw new IllegalArgumentException("a job that is here already: " + record.id());
        }
        lastSequence = Math.max(lastSequence, record.sequence());
        if (!record.options().uniqueKey().isEmpty()
                && !(record.options().uniqueUntilStart() && !record.hasNeverRun())) {
            locks.putIfAbsent(
                    record.options().uniqueKey(),
                    new UniqueLock(record.id(), record.options().uniqueUntilMs()));
        }
        index(entry, 1);
        return entry;
    }

    /** Replaces a job's record, and so possibly moves it to another set. */
    public void move(Entry entry, JobRecord next) {
        index(entry, -1);
        entry.record = next;
        entry.notBeforeMs = 0;
        if (next.state() == State.RESERVED && next.options().uniqueUntilStart()) {
            unlockUnique(entry.id(), next.options());
        }
        index(entry, 1);
    }

    /** Removes a job that has ended. */
    public void remove(Entry entry) {
        if (all.remove(entry.id(), entry)) {
            index(entry, -1);
            unlockUnique(entry.id(), entry.record.options());
        }
    }

    /** Marks a job as given to the decision module. */
    public void dispatch(Entry entry) {
        index(entry, -1);
        entry.dispatched = true;
        index(entry, 1);
    }

    /**
     * Returns a job from the decision module to its old position; it is not offered again before
     * {@code notBeforeMs}.
     */
    public void undispatch(Entry entry, long notBeforeMs) {
        index(entry, -1);
        entry.dispatched = false;
        entry.notBeforeMs = notBeforeMs;
        index(entry, 1);
    }

    public void setEnqueuedMs(Entry entry, long nowMs) {
        entry.enqueuedMs = nowMs;
    }

    private void index(Entry entry, int sign) {
        JobRecord record = entry.record;
        if (!record.options().batchId().isEmpty()) {
            countInBatch(record, sign);
        }
        dispatchedCount += entry.dispatched ? sign : 0;
        switch (record.state()) {
            case QUEUED -> {
                queueSizes.merge(
                        record.options().queue(), sign, (a, b) -> a + b == 0 ? null : a + b);
                if (!entry.dispatched) {
                    indexInClassQueue(entry, sign);
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

    private void indexInClassQueue(Entry entry, int sign) {
        Map<String, TreeMap<Long, Entry>> queues = classQueues.get(entry.jobClass);
        Options facts = entry.record.options();
        long order =
                (long) (PRIORITIES - facts.priority()) << SEQUENCE_BITS | entry.record.sequence();
        if (sign > 0) {
            queues.computeIfAbsent(facts.queue(), name -> new TreeMap<>()).put(order, entry);
        } else {
            TreeMap<Long, Entry> classQueue = queues.get(facts.queue());
            if (classQueue != null && classQueue.remove(order) != null && classQueue.isEmpty()) {
                queues.remove(facts.queue());
                served.remove(facts.queue());
            }
        }
    }

    private void countInBatch(JobRecord record, int sign) {
        BatchCounts counts =
                batches.computeIfAbsent(record.options().batchId(), bid -> new BatchCounts());
        counts.open += sign;
        counts.neverFailed += record.failure() == null && record.state() != State.DEAD ? sign : 0;
        if (counts.open == 0) {
            batches.remove(record.options().batchId());
        }
    }

    BatchCounts batchCounts(String bid) {
        return batches.getOrDefault(bid, new BatchCounts());
    }

    // ---- selection

    /**
     * The job to dispatch next for a worker that fetches from these queues; null if there is none.
     *
     * @param queues in the worker's order: the first that has a job is served, as in Faktory's
     *     protocol
     * @param fair whether the queue that was served longest ago comes first instead
     * @param open which classes may be dispatched now
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

    /**
     * The first job of a queue by priority and arrival, among the classes that may be dispatched.
     */
    private Entry first(String queue, long nowMs, IntPredicate open) {
        Entry found = null;
        long least = Long.MAX_VALUE;
        for (int jobClass = 0; jobClass < classQueues.size(); jobClass++) {
            TreeMap<Long, Entry> classQueue = classQueues.get(jobClass).get(queue);
            if (classQueue != null
                    && classQueue.firstKey() < least
                    && open.test(jobClass)
                    && classQueue.firstEntry().getValue().notBeforeMs <= nowMs) {
                least = classQueue.firstKey();
                found = classQueue.firstEntry().getValue();
            }
        }
        return found;
    }

    /** Whether a class has jobs that wait for dispatch. */
    public boolean hasWaiting(int jobClass) {
        return !classQueues.get(jobClass).isEmpty();
    }

    /** Retries and scheduled jobs that are due, each the earliest first; at most {@code most}. */
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

    /** Dead jobs beyond the retention period or the limit on their number, the oldest first. */
    public List<Entry> expiredDead(long nowMs) {
        List<Entry> found = new ArrayList<>();
        int surplus = timed.get(State.DEAD).size() - limits.maxDead();
        for (Map.Entry<Due, Entry> each : timed.get(State.DEAD).entrySet()) {
            if (found.size() >= surplus && each.getKey().atMs + limits.deadRetentionMs() > nowMs) {
                break;
            }
            found.add(each.getValue());
        }
        return found;
    }

    // ---- queues

    /** Pauses a queue; returns whether it was not paused before. */
    public boolean pause(String queue) {
        return paused.add(queue);
    }

    /** Resumes a queue; returns whether it was paused before. */
    public boolean resume(String queue) {
        return paused.remove(queue);
    }

    public boolean isPaused(String queue) {
        return paused.contains(queue);
    }

    public Set<String> paused() {
        return Set.copyOf(paused);
    }

    /** The number of jobs in each queue that has some, dispatched ones included. */
    public Map<String, Integer> queueSizes() {
        return new TreeMap<>(queueSizes);
    }

    /** The jobs of a queue that are not dispatched. */
    public List<Entry> waitingIn(String queue) {
        List<Entry> found = new ArrayList<>();
        classQueues.forEach(
                queues -> found.addAll(queues.getOrDefault(queue, new TreeMap<>()).values()));
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

    /** The jobs of the scheduled, retry or dead set, the earliest due first. */
    public Collection<Entry> jobsIn(State state) {
        return List.copyOf(timed.get(state).values());
    }

    /** The number of open jobs. */
    public int size() {
        return all.size();
    }

    /** The number of jobs that the decision module or a worker has. */
    public int dispatchedCount() {
        return dispatchedCount;
    }

    public List<Entry> all() {
        return List.copyOf(all.values());
    }

    /**
     * Removes locks that have expired; a full scan, since there are few locks compared with jobs.
     */
    public void removeExpiredLocks(long nowMs) {
        for (Iterator<UniqueLock> each = locks.values().iterator(); each.hasNext(); ) {
            if (each.next().untilMs <= nowMs) {
                each.remove();
            }
        }
    }
}
