package damsonslip.faktory.jobs;

import damsonslip.store.JobRecord;
import damsonslip.store.JobRecord.State;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * The open jobs of this scheduler and the set that each is in: queued, scheduled, waiting for a
 * retry, dead, or reserved by a worker. Holds job records without bodies, and the locks of unique
 * jobs.
 *
 * <p>A job that has been dispatched to the scheduling policy still counts towards its queue but is
 * not selected again; if it comes back without having run, it returns to its old position.
 *
 * <p>Not thread-safe. The caller passes the time, in milliseconds since the Unix epoch, and writes
 * each change to the store.
 */
public final class JobTable {
    /**
     * Limits on the number of jobs and their retention.
     *
     * @param maxWaiting the maximum number of open jobs that are not dead; reserved jobs count too
     * @param maxPerQueue the maximum number of jobs in one queue, dispatched ones included
     * @param maxDead the maximum number of dead jobs; beyond it the oldest are removed
     * @param deadRetentionMs how long a dead job is kept, in milliseconds
     */
    public record Limits(int maxWaiting, int maxPerQueue, int maxDead, long deadRetentionMs) {}

    private final Limits limits;
    private final Map<String, JobEntry> byId = new HashMap<>();
    private final JobQueues queues;
    private final TimedSets timedSets = new TimedSets();
    private final UniqueLocks uniqueLocks = new UniqueLocks();
    private final BatchCounters batchCounters = new BatchCounters();
    private int reservedCount;
    private int dispatchedCount;
    private long lastSequence;

    /** The ids of jobs that were removed during the recovery from the store. */
    private final Set<String> removedDuringRecovery = new HashSet<>();

    private boolean recovering;

    /**
     * Creates an empty table.
     *
     * @param classes the number of job classes
     * @param sequenceBase the number after which this process's sequence begins. It has to be
     *     greater than those that earlier processes gave, since jobs are pushed before all of the
     *     earlier ones are recovered
     */
    public JobTable(int classes, Limits limits, long sequenceBase) {
        this.limits = limits;
        this.queues = new JobQueues(classes);
        this.lastSequence = sequenceBase;
    }

    /**
     * Begins the recovery of jobs from the store; other jobs may be added and removed meanwhile.
     */
    public void beginRecovery() {
        recovering = true;
    }

    /** Ends the recovery. */
    public void endRecovery() {
        recovering = false;
        removedDuringRecovery.clear();
    }

    /**
     * Whether a job that was read from the store may be added: it is not in the table, and it was
     * not removed since the recovery began, after which the record that was read is outdated.
     */
    public boolean mayRecover(String id) {
        return !byId.containsKey(id) && !removedDuringRecovery.contains(id);
    }

    /** The reason why this queue accepts no further job; null if it accepts one. */
    public String rejectionReason(String queue) {
        if (byId.size() - timedSets.size(State.DEAD) >= limits.maxWaiting()) {
            return "too many jobs wait here; push it again later";
        }
        if (queues.size(queue) >= limits.maxPerQueue()) {
            return "too many jobs wait in queue " + queue + "; push it again later";
        }
        return null;
    }

    /** Acquires a unique job's lock; returns false if another open job holds it. */
    public boolean lockUnique(String id, JobRecord.Options options, long nowMs) {
        return uniqueLocks.lock(id, options, nowMs);
    }

    /** Releases a unique job's lock, if this job holds it. */
    public void unlockUnique(String id, JobRecord.Options options) {
        uniqueLocks.unlock(id, options);
    }

    /** Removes the unique-job locks that have expired. */
    public void removeExpiredLocks(long nowMs) {
        uniqueLocks.removeExpired(nowMs);
    }

    /** Takes the next sequence number, by which jobs are ordered on arrival. */
    public long nextSequence() {
        return ++lastSequence;
    }

    /** The open job of this id, or null. */
    public JobEntry get(String id) {
        return byId.get(id);
    }

    /** Whether this very entry is in the table, and not a later job with the same id. */
    public boolean contains(JobEntry entry) {
        return byId.get(entry.id()) == entry;
    }

    /**
     * Adds an open job.
     *
     * @throws IllegalArgumentException if the table has a job of this id
     */
    public JobEntry add(JobRecord record, int jobClass) {
        JobEntry entry = new JobEntry(record, jobClass);
        if (byId.putIfAbsent(record.id(), entry) != null) {
            throw new IllegalArgumentException("duplicate job id: " + record.id());
        }
        removedDuringRecovery.remove(record.id());
        lastSequence = Math.max(lastSequence, record.sequence());
        uniqueLocks.restore(record);
        addToSet(entry);
        return entry;
    }

    /** Replaces a job's record, which moves the job to the set of its new state. */
    public void move(JobEntry entry, JobRecord next) {
        removeFromSet(entry);
        entry.setRecord(next);
        entry.setNotBeforeMs(0);
        if (next.state() == State.RESERVED && next.options().uniqueUntilStart()) {
            uniqueLocks.unlock(entry.id(), next.options());
        }
        addToSet(entry);
    }

    /** Removes a job that has ended. */
    public void remove(JobEntry entry) {
        if (byId.remove(entry.id(), entry)) {
            if (recovering) {
                removedDuringRecovery.add(entry.id());
            }
            removeFromSet(entry);
            uniqueLocks.unlock(entry.id(), entry.record().options());
        }
    }

    /** Marks a job as dispatched to the scheduling policy. */
    public void dispatch(JobEntry entry) {
        removeFromSet(entry);
        entry.setDispatched(true);
        addToSet(entry);
    }

    /**
     * Returns a dispatched job to its old position in its queue. It is not selected again before
     * {@code notBeforeMs}.
     */
    public void returnToQueue(JobEntry entry, long notBeforeMs) {
        removeFromSet(entry);
        entry.setDispatched(false);
        entry.setNotBeforeMs(notBeforeMs);
        addToSet(entry);
    }

    /** Records when a job entered a queue; 0 if it never did. */
    public void setEnqueuedMs(JobEntry entry, long atMs) {
        entry.setEnqueuedMs(atMs);
    }

    private void addToSet(JobEntry entry) {
        batchCounters.count(entry.record(), 1);
        dispatchedCount += entry.isDispatched() ? 1 : 0;
        switch (entry.record().state()) {
            case QUEUED -> queues.add(entry);
            case RESERVED -> reservedCount++;
            default -> timedSets.add(entry);
        }
    }

    private void removeFromSet(JobEntry entry) {
        batchCounters.count(entry.record(), -1);
        dispatchedCount -= entry.isDispatched() ? 1 : 0;
        switch (entry.record().state()) {
            case QUEUED -> queues.remove(entry);
            case RESERVED -> reservedCount--;
            default -> timedSets.remove(entry);
        }
    }

    BatchCounters.Counts batchCounts(String batchId) {
        return batchCounters.of(batchId);
    }

    /**
     * Selects the next job to dispatch for a worker that fetches from these queues; null if there
     * is none.
     *
     * @param queueNames the queues in the worker's order; as in Faktory's protocol, the first that
     *     has a job is served
     * @param fair whether the least recently served queue comes first instead
     * @param mayDispatch the classes, by index, whose jobs may be dispatched now
     */
    public JobEntry next(
            List<String> queueNames, boolean fair, long nowMs, IntPredicate mayDispatch) {
        return queues.next(queueNames, fair, nowMs, mayDispatch);
    }

    /** Whether a class has queued jobs that are not dispatched. */
    public boolean hasWaiting(int jobClass) {
        return queues.hasWaiting(jobClass);
    }

    /**
     * Retries and scheduled jobs that are due, up to the limit: the retries first, then the
     * scheduled jobs, each the earliest first.
     */
    public List<JobEntry> due(long nowMs, int limit) {
        return timedSets.due(nowMs, limit);
    }

    /** Dead jobs beyond the retention period or the limit on their number, the oldest first. */
    public List<JobEntry> expiredDead(long nowMs) {
        return timedSets.expiredDead(nowMs, limits.maxDead(), limits.deadRetentionMs());
    }

    /** Pauses a queue; returns whether it was not paused before. */
    public boolean pause(String queue) {
        return queues.pause(queue);
    }

    /** Resumes a queue; returns whether it was paused before. */
    public boolean resume(String queue) {
        return queues.resume(queue);
    }

    /** Whether a queue is paused, so that none of its jobs is dispatched. */
    public boolean isPaused(String queue) {
        return queues.isPaused(queue);
    }

    /** The names of the paused queues. */
    public Set<String> paused() {
        return queues.paused();
    }

    /** The number of jobs in each non-empty queue, dispatched ones included. */
    public Map<String, Integer> queueSizes() {
        return queues.sizes();
    }

    /** The jobs of a queue that are not dispatched. */
    public List<JobEntry> waitingIn(String queue) {
        return queues.waitingIn(queue);
    }

    /** The number of open jobs in a state. */
    public int size(State state) {
        return switch (state) {
            case QUEUED -> queues.totalSize();
            case RESERVED -> reservedCount;
            default -> timedSets.size(state);
        };
    }

    /** The jobs of the scheduled, retry or dead set, the earliest due first. */
    public Collection<JobEntry> jobsIn(State state) {
        return timedSets.jobs(state);
    }

    /** The number of open jobs. */
    public int size() {
        return byId.size();
    }

    /** The number of jobs that are held by the scheduling policy or a worker. */
    public int dispatchedCount() {
        return dispatchedCount;
    }

    /** All open jobs, in no particular order. */
    public List<JobEntry> all() {
        return List.copyOf(byId.values());
    }
}
