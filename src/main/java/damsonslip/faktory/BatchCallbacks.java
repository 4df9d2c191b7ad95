package damsonslip.faktory;

import damsonslip.engine.EventLoop;
import damsonslip.faktory.JobFactory.NewJob;
import damsonslip.faktory.jobs.DueCallback;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import damsonslip.store.StoreOperation;
import java.util.function.Consumer;

/** Pushes the callback jobs of batches. Confined to the event loop. */
final class BatchCallbacks {
    private static final long RETRY_DELAY_US = 500_000;

    private final EventLoop loop;
    private final AsyncStore store;
    private final JobFactory jobFactory;
    private final JobCoordinator coordinator;

    BatchCallbacks(
            EventLoop loop, AsyncStore store, JobFactory jobFactory, JobCoordinator coordinator) {
        this.loop = loop;
        this.store = store;
        this.jobFactory = jobFactory;
        this.coordinator = coordinator;
    }

    /**
     * Pushes a callback job, retrying until the store has recorded it.
     *
     * @param onExisting called with the stored record if the callback was pushed before
     */
    void push(DueCallback callback, Consumer<JobRecord> onExisting) {
        String jid = callback.batch().callbackJobId(callback.isSuccess());
        NewJob job = jobFactory.createCallback(callback.job(), jid, callback.batch().bid());
        store.submit(
                new StoreOperation.Add(job.record(), job.body()),
                existing -> {
                    if (existing != null) {
                        onExisting.accept(existing);
                    } else if (coordinator.jobTable().get(jid) == null) {
                        coordinator.admit(job.record(), job.jobClass());
                    }
                },
                () -> loop.scheduleAfter(RETRY_DELAY_US, () -> push(callback, onExisting)));
    }
}
