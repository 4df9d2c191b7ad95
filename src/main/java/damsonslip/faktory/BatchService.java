package damsonslip.faktory;

import com.fasterxml.jackson.core.JsonProcessingException;
import damsonslip.faktory.codec.Json;
import damsonslip.faktory.jobs.Batch;
import damsonslip.faktory.jobs.BatchTable;
import damsonslip.faktory.jobs.DueCallback;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobRecord;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the batches consistent with their jobs: pushes callbacks that become due, and records each
 * change in the store. Confined to the event loop.
 */
final class BatchService {
    private static final Logger LOG = LoggerFactory.getLogger(BatchService.class);

    /** The metadata kind under which the store holds batches. */
    static final String METADATA_KIND = "batch";

    private final AsyncStore store;
    private final JobCoordinator coordinator;
    private final BatchCallbacks callbacks;
    private final BatchTable batches;
    private boolean recovered;

    BatchService(AsyncStore store, JobCoordinator coordinator, BatchCallbacks callbacks) {
        this.store = store;
        this.coordinator = coordinator;
        this.callbacks = callbacks;
        this.batches = new BatchTable(coordinator.jobTable());
        coordinator.lifecycle().setListeners(this::pushDueCallbacks, this::jobSucceeded);
    }

    BatchTable batches() {
        return batches;
    }

    long nowMs() {
        return coordinator.nowMs();
    }

    /** Whether the recovery from the store is complete. */
    boolean isRecovered() {
        return recovered;
    }

    /** Returns why no job may be pushed into this batch; null if one may. */
    String rejectionReason(String bid) {
        return batches.rejectionReason(bid);
    }

    /** Counts a job that was pushed into a batch. */
    void countPushedJob(String bid) {
        write(batches.countPushedJob(bid));
    }

    /** Pushes the callbacks that have become due by a change of this batch or of its jobs. */
    void pushDueCallbacks(String bid) {
        for (DueCallback callback : batches.collectDueCallbacks(bid)) {
            write(callback.batch());
            push(callback);
        }
    }

    private void push(DueCallback callback) {
        if (!callback.job().isEmpty()) {
            callbacks.push(callback, existing -> handleAlreadyPushed(callback, existing));
        }
    }

    /**
     * Called if the store already has a callback, pushed before a restart; it may have run since.
     */
    private void handleAlreadyPushed(DueCallback callback, JobRecord existing) {
        if (existing.state() == JobRecord.State.SUCCESS) {
            callbackSucceeded(callback.batch().bid(), callback.isSuccess());
        }
    }

    private void jobSucceeded(JobRecord record) {
        String bid = record.options().callbackBatchId();
        if (!bid.isEmpty()) {
            callbackSucceeded(bid, Batch.isSuccessCallback(record.id()));
        }
    }

    private void callbackSucceeded(String bid, boolean success) {
        Batch batch = batches.markCallbackDone(bid, success);
        if (batch != null) {
            write(batch);
            pushDueCallbacks(bid);
        }
    }

    /** Records a batch in the store, repeating that until the store has it. */
    void write(Batch batch) {
        store.putMetadata(METADATA_KIND, batch.bid(), encode(batch));
    }

    /** As {@link #write(Batch)}; one of the callbacks is called after the first attempt. */
    void write(Batch batch, Runnable onSuccess, Runnable onFailure) {
        store.putMetadata(METADATA_KIND, batch.bid(), encode(batch), onSuccess, onFailure);
    }

    private static String encode(Batch batch) {
        try {
            return Json.MAPPER.writeValueAsString(batch);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("batch cannot be serialized: " + batch.bid(), e);
        }
    }

    /** Recovers the batches from the store; called before any job is recovered. */
    void load(Map<String, String> textsById) {
        textsById.forEach(this::load);
    }

    private void load(String bid, String text) {
        try {
            batches.add(Json.MAPPER.readValue(text, Batch.class));
        } catch (JsonProcessingException e) {
            LOG.warn("event=batch_not_recovered bid={} reason=unreadable", bid, e);
        }
    }

    /**
     * Pushes callbacks that were due before the stop or became due because of it; called once all
     * jobs are recovered.
     */
    void recoveryCompleted() {
        recovered = true;
        batches.correctTotals();
        batches.unfinishedCallbacks().forEach(this::push);
        batches.all().forEach(batch -> pushDueCallbacks(batch.bid()));
        batches.removeExpired(nowMs()).forEach(this::delete);
    }

    /** Removes all batches. */
    void clear() {
        batches.all().forEach(batch -> delete(batch.bid()));
        batches.clear();
    }

    /** Records all batches in the store again. */
    void rewriteAll() {
        batches.all().forEach(this::write);
    }

    /** Deletes a batch from the store. */
    void delete(String bid) {
        store.putMetadata(METADATA_KIND, bid, null);
    }
}
