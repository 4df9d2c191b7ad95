package damsonslip.faktory;

import damsonslip.config.SiteSettings;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.RetryPolicy;
import damsonslip.faktory.routing.Routes;
import damsonslip.policy.api.JobClass;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.StoreOperation;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Recovers paused queues, batches and open jobs from the store at start-up. Jobs are read in
 * batches, so that other tasks of the event loop run in between. Confined to the event loop.
 */
final class Recovery {
    private static final Logger LOG = LoggerFactory.getLogger(Recovery.class);
    private static final long RETRY_DELAY_US = 500_000;

    /**
     * The number of records read with one request to the store and recovered in one task of the
     * event loop.
     */
    private static final int BATCH_SIZE = 400;

    private final EventLoop loop;
    private final SiteSettings site;
    private final AsyncStore store;
    private final Counters counters;
    private final Routes routes;
    private final JobCoordinator coordinator;
    private final BatchService batches;
    private final EndedJobs endedJobs;
    private final Runnable onCompletion;
    private int recoveredJobs;

    Recovery(
            EventLoop loop,
            SiteSettings site,
            AsyncStore store,
            Counters counters,
            Routes routes,
            JobCoordinator coordinator,
            BatchService batches,
            EndedJobs endedJobs,
            Runnable onCompletion) {
        this.loop = loop;
        this.site = site;
        this.store = store;
        this.counters = counters;
        this.routes = routes;
        this.coordinator = coordinator;
        this.batches = batches;
        this.endedJobs = endedJobs;
        this.onCompletion = onCompletion;
    }

    /**
     * Starts the recovery, retrying until the store answers; without the store no job can be
     * accepted either.
     */
    void start() {
        coordinator.jobTable().beginRecovery();
        endedJobs.load(this::loadPausedQueues);
    }

    private void loadPausedQueues() {
        store.submit(
                new StoreOperation.GetMetadata(QueueCommands.PAUSED_KIND),
                paused -> {
                    paused.keySet().forEach(coordinator.jobTable()::pause);
                    loadBatches();
                },
                this::retryLater);
    }

    private void loadBatches() {
        store.submit(
                new StoreOperation.GetMetadata(BatchService.METADATA_KIND),
                texts -> {
                    batches.load(texts);
                    listJobs();
                },
                this::retryLater);
    }

    private void listJobs() {
        store.submit(
                new StoreOperation.ListOpen(),
                ids -> loadJobs(new ArrayList<>(ids), 0),
                this::retryLater);
    }

    private void retryLater() {
        loop.scheduleAfter(RETRY_DELAY_US, this::start);
    }

    private void loadJobs(List<String> ids, int from) {
        if (from >= ids.size()) {
            coordinator.jobTable().endRecovery();
            LOG.info("event=jobs_recovered {} jobs taken up from the store", recoveredJobs);
            onCompletion.run();
            return;
        }
        int to = Math.min(ids.size(), from + BATCH_SIZE);
        store.submit(
                new StoreOperation.LoadOpen(ids.subList(from, to)),
                records -> {
                    records.forEach(this::recover);
                    loadJobs(ids, to);
                },
                () -> loop.scheduleAfter(RETRY_DELAY_US, () -> loadJobs(ids, from)));
    }

    private void recover(JobRecord record) {
        if (!coordinator.jobTable().mayRecover(record.id())) {
            return; // pushed since the start, and perhaps ended
        }
        if (endedJobs.contains(record.id())) {
            endAgain(record);
            return;
        }
        recoveredJobs++;
        int jobClass = classOf(record.options());
        if (jobClass < 0) {
            failWithoutClass(record);
        } else {
            recover(record, jobClass);
        }
    }

    /** Ends a job whose end the store has lost. */
    private void endAgain(JobRecord record) {
        LOG.warn("event=job_not_recovered jid={} reason=ended_before", record.id());
        String detail = "it had ended; the store has lost how";
        store.write(record.withState(JobRecord.State.DISCARDED, 0, detail, coordinator.nowMs()));
    }

    /**
     * Returns the job's class, or the one that its route selects if its own is no longer
     * configured.
     */
    private int classOf(JobRecord.Options options) {
        int named = routes.classOf(options.className(), options.queue(), options.jobtype());
        return named >= 0 ? named : routes.classOf("", options.queue(), options.jobtype());
    }

    private void failWithoutClass(JobRecord record) {
        String className = record.options().className();
        LOG.warn(
                "event=job_not_recovered jid={} reason=unknown_class class={}",
                record.id(),
                className);
        String detail = "no class of the name " + className;
        store.write(record.withState(JobRecord.State.FAILED, 0, detail, coordinator.nowMs()));
    }

    private void recover(JobRecord record, int jobClass) {
        JobClass settings = site.settings().classes().get(jobClass);
        switch (RetryPolicy.recoveryAction(record, settings, coordinator.nowMs())) {
            case RESTORE -> coordinator.admit(record, jobClass);
            case DISPATCH -> {
                JobRecord queued = record.enqueued(record.sequence(), coordinator.nowMs());
                coordinator.admit(queued, jobClass);
            }
            case AWAIT_REPORT -> awaitReport(record, jobClass);
            case EXPIRE -> {
                JobEntry entry = coordinator.jobTable().add(record, jobClass);
                coordinator.lifecycle().fail(entry, "out of time", CommandCallback.IGNORE);
            }
        }
    }

    private void awaitReport(JobRecord record, int jobClass) {
        counters.add(Count.QUERIES_TAKEN);
        JobRecord reserved =
                record.state() == JobRecord.State.RESERVED
                        ? record
                        : record.reserved(record.worker(), record.updatedMs());
        coordinator.lateReports().await(coordinator.jobTable().add(reserved, jobClass));
    }
}
