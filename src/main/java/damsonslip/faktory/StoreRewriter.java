package damsonslip.faktory;

import damsonslip.engine.EventLoop;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.store.AsyncStore;
import java.util.List;

/**
 * Writes again to the store what this process knows, after the store has lost data: the records of
 * the open jobs, the batches, the paused queues, and which jobs have ended. The bodies of jobs are
 * not known here. What has not changed is written as it is, so this does no harm if nothing was
 * lost. Confined to the event loop.
 */
final class StoreRewriter {
    /** How much is written in one task of the event loop. */
    private static final int BATCH_SIZE = 200;

    /** Pauses while more operations than this wait for the store. */
    private static final int MAX_STORE_BACKLOG = 2_000;

    private static final long PAUSE_US = 20_000;

    private final EventLoop loop;
    private final AsyncStore store;
    private final JobTable jobTable;
    private final BatchService batches;
    private final EndedJobs endedJobs;

    /** What is being written, or null. */
    private Pass current;

    /**
     * From which time on changes have to be written in the next pass; none if it is the maximum.
     */
    private long nextSinceMs = Long.MAX_VALUE;

    StoreRewriter(
            EventLoop loop,
            AsyncStore store,
            JobTable jobTable,
            BatchService batches,
            EndedJobs endedJobs) {
        this.loop = loop;
        this.store = store;
        this.jobTable = jobTable;
        this.batches = batches;
        this.endedJobs = endedJobs;
    }

    /** Writes everything. */
    void rewriteAll() {
        rewriteSince(Long.MIN_VALUE);
    }

    /** Writes what has changed since this time, after what is being written already. */
    void rewriteSince(long sinceMs) {
        nextSinceMs = Math.min(nextSinceMs, sinceMs);
        if (current == null) {
            beginPass();
        }
    }

    private void beginPass() {
        current = new Pass(nextSinceMs);
        nextSinceMs = Long.MAX_VALUE;
        batches.rewriteAll();
        jobTable.paused()
                .forEach(
                        queue ->
                                store.putMetadata(
                                        QueueCommands.PAUSED_KIND,
                                        queue,
                                        QueueCommands.PAUSED_VALUE));
        continuePass();
    }

    private void continuePass() {
        if (!store.isAvailable() || store.pendingCount() > MAX_STORE_BACKLOG) {
            loop.scheduleAfter(PAUSE_US, this::continuePass);
        } else if (current.writeBatch()) {
            loop.execute(this::continuePass);
        } else {
            current = null;
            if (nextSinceMs < Long.MAX_VALUE) {
                beginPass();
            }
        }
    }

    /** One pass over the jobs that are open at its beginning, and those that have ended. */
    private final class Pass {
        private final long sinceMs;
        private final List<JobEntry> openJobs = jobTable.all();
        private int nextJob;
        private int nextPart;

        Pass(long sinceMs) {
            this.sinceMs = sinceMs;
        }

        /** Writes a batch; returns whether there may be another one. */
        boolean writeBatch() {
            for (int i = 0; i < BATCH_SIZE; i++) {
                if (nextJob < openJobs.size()) {
                    write(openJobs.get(nextJob++));
                } else if (nextPart < endedJobs.parts()) {
                    endedJobs.rewrite(nextPart++, sinceMs);
                } else {
                    return false;
                }
            }
            return true;
        }

        private void write(JobEntry entry) {
            if (jobTable.contains(entry) && entry.record().updatedMs() >= sinceMs) {
                store.write(entry.record());
            }
        }
    }
}
