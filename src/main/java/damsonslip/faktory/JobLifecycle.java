package damsonslip.faktory;

import damsonslip.config.SiteSettings;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.faktory.codec.CommandError;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.jobs.JobTransitions;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.JobClass;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves jobs between their states, in the job table and in the store, and notifies the listeners.
 * Confined to the event loop.
 */
final class JobLifecycle {
    private static final Logger LOG = LoggerFactory.getLogger(JobLifecycle.class);

    private static final CommandError NOT_RECORDED =
            CommandError.error(
                    "the store is down; the word is kept here and written once it is back");

    private final EventLoop loop;
    private final SiteSettings site;
    private final AsyncStore store;
    private final Counters counters;
    private final JobTable jobTable;
    private final EndedJobs endedJobs;
    private Consumer<String> batchListener = batchId -> {};
    private Consumer<JobRecord> successListener = record -> {};

    JobLifecycle(
            EventLoop loop,
            SiteSettings site,
            AsyncStore store,
            Counters counters,
            JobTable jobTable,
            EndedJobs endedJobs) {
        this.loop = loop;
        this.site = site;
        this.store = store;
        this.counters = counters;
        this.jobTable = jobTable;
        this.endedJobs = endedJobs;
    }

    /**
     * Sets the listeners.
     *
     * @param batches called with the id of a batch when one of its jobs changes state
     * @param successes called with the record of a job that has succeeded
     */
    void setListeners(Consumer<String> batches, Consumer<JobRecord> successes) {
        batchListener = batches;
        successListener = successes;
    }

    JobTable jobTable() {
        return jobTable;
    }

    /** Returns the time of the event loop, in milliseconds since the Unix epoch. */
    long nowMs() {
        return loop.nowUs() / 1000;
    }

    JobClass classOf(JobEntry entry) {
        return site.settings().classes().get(entry.jobClass());
    }

    /**
     * Moves a job to another state, possibly a final one, and records that in the store.
     *
     * @param callback called after the first attempt to record it; a failed write is retried in the
     *     background
     */
    void transition(JobEntry entry, JobRecord next, CommandCallback callback) {
        checkTransition(entry, next);
        if (next.state().isFinal()) {
            jobTable.remove(entry);
        } else {
            jobTable.move(entry, next);
        }
        record(entry, next, callback);
        if (!next.options().batchId().isEmpty()) {
            batchListener.accept(next.options().batchId());
        }
        if (next.state() == JobRecord.State.SUCCESS) {
            successListener.accept(next);
        }
    }

    /** Records the end of a job that was removed from the job table. */
    void recordEnd(JobEntry entry, JobRecord last) {
        record(entry, last, CommandCallback.IGNORE);
    }

    private void record(JobEntry entry, JobRecord next, CommandCallback callback) {
        boolean ended = next.state().isFinal() && next.state() != JobRecord.State.REJECTED;
        if (ended && mustNotRunTwice(entry.jobClass())) {
            endedJobs.add(next.id()); // stored before the callback reports the end
        }
        store.write(next, callback::succeeded, () -> callback.failed(NOT_RECORDED));
    }

    /** Whether jobs of this class may not simply be run again. */
    boolean mustNotRunTwice(int jobClass) {
        return site.settings().classes().get(jobClass).idempotency() != Idempotency.IDEMPOTENT;
    }

    private static void checkTransition(JobEntry entry, JobRecord next) {
        JobRecord.State from = entry.record().state();
        if (!JobTransitions.isAllowed(from, next.state())) {
            LOG.error(
                    "event=unexpected_transition jid={} from={} to={}",
                    next.id(),
                    from,
                    next.state());
        }
    }

    /** Ends a job successfully. */
    void succeed(JobEntry entry, CommandCallback callback) {
        JobRecord next = entry.record().withState(JobRecord.State.SUCCESS, 0, "", nowMs());
        transition(entry, next, callback);
    }

    /** Ends an awaited job without success. */
    void fail(JobEntry entry, String detail, CommandCallback callback) {
        JobRecord next = entry.record().withState(JobRecord.State.FAILED, 0, detail, nowMs());
        transition(entry, next, callback);
    }

    /** Moves a job to the dead set. */
    void kill(JobEntry entry, String detail, CommandCallback callback) {
        JobRecord next = entry.record().withState(JobRecord.State.DEAD, nowMs(), detail, nowMs());
        transition(entry, next, callback);
    }

    /**
     * Discards a job. Its record stays in the store, so that a repeated push does not run it again.
     */
    void discard(JobEntry entry, String detail, CommandCallback callback) {
        JobRecord next = entry.record().withState(JobRecord.State.DISCARDED, 0, detail, nowMs());
        transition(entry, next, callback);
    }

    /** Discards a job if it has expired; returns whether it has. */
    boolean discardIfExpired(JobEntry entry) {
        long expiresMs = entry.record().options().expiresMs();
        if (expiresMs == 0 || expiresMs > nowMs()) {
            return false;
        }
        counters.add(Count.JOBS_EXPIRED);
        discard(entry, "its time to run was over", CommandCallback.IGNORE);
        return true;
    }

    /** Appends a job to its queue, in memory only; see {@link JobCoordinator#enqueue}. */
    void moveToQueue(JobEntry entry) {
        jobTable.move(entry, entry.record().enqueued(jobTable.nextSequence(), nowMs()));
        jobTable.setEnqueuedMs(entry, nowMs());
    }

    /** Returns a reserved job to its queue if it was provably not handed out to the worker. */
    void returnUnrun(DispatchedJob dispatched) {
        JobEntry entry = dispatched.entry;
        boolean reserved = entry.record().state() == JobRecord.State.RESERVED;
        if (jobTable.contains(entry) && reserved && !dispatched.ran) {
            jobTable.move(entry, entry.record().returned(dispatched.ranBefore, nowMs()));
            store.write(entry.record());
        }
    }
}
