package damsonslip.faktory;

import damsonslip.config.SiteSettings;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.faktory.jobs.JobEntry;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.jobs.RetryPolicy;
import damsonslip.faktory.routing.Routes;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.StoreOperation;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Recovers paused queues, batches and open jobs from the store after a start, in batches, so that
 * other tasks of the event loop run in between. Confined to the event loop.
 */
final class Recovery {
    private static final Logger LOG = LoggerFactory.getLogger(Recovery.class);
    private static final long RETRY_US = 500_000;

    /**
     * Records that are read with one request to the store and recovered in one task of the loop.
     */
    private static final int BATCH = 400;

    private final EventLoop loop;
    private final SiteSettings site;
    private final AsyncStore store;
    private final Counters counters;
    private final Routes routes;
    private final JobCoordinator coordinator;
    private final BatchService batches;
    private final Runnable done;
    private int recovered;

    Recovery(
            EventLoop loop,
            SiteSettings site,
            AsyncStore store,
            Counters counters,
            Routes routes,
            JobCoordinator coordinator,
            BatchService batches,
            Runnable done) {
        this.loop = loop;
        this.site = site;
        this.store = store;
        this.counters = counters;
        this.routes = routes;
        this.coordinator = coordinator;
        this.batches = batches;
        this.done = done;
    }

    /**
     * Starts the recovery and repeats it until the store answers; before that no job can be
     * accepted either.
     */
    void begin() {
        store.submit(
                new StoreOperation.GetMetadata(AdminCommands.PAUSED),
                paused -> {
                    paused.keySet().forEach(coordinator.jobTable()::pause);
                    store.submit(
                            new StoreOperation.GetMetadata(BatchService.NOTE),
                            notes -> {
                                batches.load(notes);
                                store.submit(
                                        new StoreOperation.ListOpen(),
                                        ids -> load(new ArrayList<>(ids), 0),
                                        this::retry);
                            },
                            this::retry);
                },
                this::retry);
    }

    private void retry() {
        loop.in(RETRY_US, this::begin);
    }

    private void load(List<String> ids, int from) {
        if (from >= ids.size()) {
            LOG.info("{} jobs taken up from the store", recovered);
            done.run();
            return;
        }
        List<String> part = ids.subList(from, Math.min(ids.size(), from + BATCH));
        store.submit(
                new StoreOperation.LoadOpen(part),
                records -> {
                    records.forEach(this::recover);
                    load(ids, from + BATCH);
                },
                () -> loop.in(RETRY_US, () -> load(ids, from)));
    }

    private void recover(JobRecord record) {
        JobTable jobTable = coordinator.jobTable();
        if (jobTable.get(record.id()) != null) {
            return; // pushed, or reported on, since the start
        }
        recovered++;
        JobRecord.Options facts = record.options();
        int jobClass = routes.classOf(facts.className(), facts.queue(), facts.jobtype());
        if (jobClass < 0) {
            jobClass =
                    routes.classOf(
                            "",
                            facts.queue(),
                            facts.jobtype()); // its class is no longer configured
        }
        if (jobClass < 0) {
            LOG.warn(
                    "job {} from the store cannot be taken up: no class of the name {}",
                    record.id(),
                    facts.className());
            store.write(
                    record.withState(
                            JobRecord.State.FAILED,
                            0,
                            "no class of the name " + facts.className(),
                            coordinator.nowMs()));
            return;
        }
        switch (RetryPolicy.recoveryAction(
                record, site.settings().classes().get(jobClass), coordinator.nowMs())) {
            case RESTORE -> coordinator.admit(record, jobClass);
            case DISPATCH ->
                    coordinator.admit(
                            record.enqueued(record.sequence(), coordinator.nowMs()), jobClass);
            case AWAIT_REPORT -> {
                counters.add(Count.QUERIES_TAKEN);
                JobEntry entry =
                        jobTable.add(
                                record.state() == JobRecord.State.RESERVED
                                        ? record
                                        : record.reserved(record.worker(), record.updatedMs()),
                                jobClass);
                coordinator.awaitReport(entry);
            }
            case EXPIRE -> {
                JobEntry entry = jobTable.add(record, jobClass);
                coordinator.transition(
                        entry,
                        record.withState(
                                JobRecord.State.FAILED, 0, "out of time", coordinator.nowMs()));
            }
        }
    }
}
