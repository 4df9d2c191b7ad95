package damsonslip.faktory;

import damsonslip.engine.Counters;
import damsonslip.engine.EventLoop;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.SchedulerEngine;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.store.AsyncStore;

/** Creates the services of the Faktory frontend and wires them together. */
final class FaktoryServices {
    private final EventLoop loop;
    private final Counters counters;
    private final FaktoryConfig config;
    private final AsyncStore store;
    private final JobCoordinator coordinator;
    private final Reservations reservations;
    private final WorkerRegistry workers;
    private final Consumers consumers;
    private final Producers producers;
    private final JobTracker tracker;
    private final BatchService batches;
    private final BatchCommands batchCommands;
    private final MutateCommand mutateCommand;
    private final QueueCommands queueCommands;
    private final ServerInfo serverInfo;
    private final EndedJobs endedJobs;
    private final StoreRewriter rewriter;

    FaktoryServices(
            EventLoop loop,
            LifecyclePhase phase,
            Counters counters,
            FaktoryConfig config,
            SchedulerEngine engine,
            AsyncStore store) {
        this.loop = loop;
        this.counters = counters;
        this.config = config;
        this.store = store;
        int classCount = config.site().classNames().size();
        JobTable jobTable = new JobTable(classCount, config.jobLimits(), loop.startedUs());
        this.endedJobs = new EndedJobs(loop, store);
        JobLifecycle lifecycle =
                new JobLifecycle(loop, config.site(), store, counters, jobTable, endedJobs);
        this.reservations = new Reservations(loop, engine, store, counters, lifecycle);
        this.workers = new WorkerRegistry(loop, config.site(), engine, store, reservations);
        this.coordinator =
                new JobCoordinator(
                        loop,
                        config.site(),
                        engine,
                        store,
                        phase,
                        counters,
                        lifecycle,
                        workers,
                        config.fairQueueOrder());
        reservations.onJobLost(coordinator.dispatcher()::withdraw);
        this.consumers =
                new Consumers(loop, engine, workers, reservations, coordinator.dispatcher());
        JobFactory jobFactory = new JobFactory(config, lifecycle);
        BatchCallbacks callbacks = new BatchCallbacks(loop, store, jobFactory, coordinator);
        this.batches = new BatchService(store, coordinator, callbacks);
        this.batchCommands = new BatchCommands(jobFactory, batches);
        this.producers =
                new Producers(
                        loop, store, phase, counters, jobFactory, coordinator, batches, endedJobs);
        this.tracker = new JobTracker(store, lifecycle);
        this.mutateCommand = new MutateCommand(loop, store, coordinator);
        this.queueCommands = new QueueCommands(loop, store, coordinator, batches);
        this.serverInfo = new ServerInfo(loop, counters, jobTable, workers);
        this.rewriter = new StoreRewriter(loop, store, jobTable, batches, endedJobs);
    }

    private StoreContinuity.Listener lossListener() {
        return new StoreContinuity.Listener() {
            @Override
            public void dataLost() {
                endedJobs.storeLostData();
                rewriter.rewriteAll();
            }

            @Override
            public void backAfterOutage(long sinceMs) {
                rewriter.rewriteSince(sinceMs);
            }
        };
    }

    /** Starts the recovery from the store. */
    void recover(Runnable onCompletion) {
        Runnable completeRecovery =
                () -> {
                    producers.recoveryCompleted();
                    batches.recoveryCompleted();
                    onCompletion.run();
                };
        new Recovery(
                        loop,
                        config.site(),
                        store,
                        counters,
                        config.routes(),
                        coordinator,
                        batches,
                        endedJobs,
                        completeRecovery)
                .start();
        new StoreContinuity(loop, store, counters, lossListener()).start();
    }

    JobCoordinator coordinator() {
        return coordinator;
    }

    Reservations reservations() {
        return reservations;
    }

    WorkerRegistry workers() {
        return workers;
    }

    Consumers consumers() {
        return consumers;
    }

    Producers producers() {
        return producers;
    }

    JobTracker tracker() {
        return tracker;
    }

    BatchCommands batchCommands() {
        return batchCommands;
    }

    MutateCommand mutateCommand() {
        return mutateCommand;
    }

    QueueCommands queueCommands() {
        return queueCommands;
    }

    ServerInfo serverInfo() {
        return serverInfo;
    }
}
