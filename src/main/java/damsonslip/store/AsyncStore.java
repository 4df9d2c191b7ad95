package damsonslip.store;

import damsonslip.engine.EventLoop;
import damsonslip.engine.FatalErrors;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asynchronous access to a {@link JobStore} from the event loop. Operations are executed on a
 * dedicated thread in the order of submission, many in one round trip, and their results are
 * handled on the loop. At a maximum number of pending operations, which is reached while the store
 * hangs, {@link #submit} fails immediately.
 *
 * <p>Methods that submit or write are called on the event loop; the others may be called on any
 * thread.
 */
public final class AsyncStore {
    private static final Logger LOG = LoggerFactory.getLogger(AsyncStore.class);

    /** Maximum number of pending operations; the store executes about as many in a second. */
    private static final int MAX_PENDING = 40_000;

    /** Maximum number of operations in a round trip, which must stay within the store's timeout. */
    private static final int MAX_BATCH = 512;

    private static final String THREAD_NAME = "store";
    private static final long RETRY_DELAY_US = 500_000;
    private static final long POLL_TIMEOUT_MS = 100;
    private static final long CLOSE_TIMEOUT_S = 2;

    private record Call<T>(
            StoreOperation<T> operation, Consumer<T> onSuccess, Runnable onFailure) {}

    private final EventLoop loop;
    private final JobStore store;
    private final StoreCircuitBreaker circuitBreaker;
    private final LinkedBlockingQueue<Call<?>> calls = new LinkedBlockingQueue<>();
    private final AtomicInteger pending = new AtomicInteger();
    private final Thread thread = new Thread(this::runThread, THREAD_NAME);

    /**
     * The newest record of each job among the submitted writes: a failed write of an older record
     * must not be retried after it.
     */
    private final Map<String, JobRecord> newest = new HashMap<>();

    private volatile boolean closing;

    /** Starts the thread that calls the store. */
    public AsyncStore(EventLoop loop, JobStore store) {
        this.loop = loop;
        this.store = store;
        this.circuitBreaker = new StoreCircuitBreaker(store);
        thread.setDaemon(true);
        thread.start();
    }

    /** Whether the last call to the store succeeded. */
    public boolean isAvailable() {
        return circuitBreaker.isClosed();
    }

    /** Returns the number of operations that wait to be executed. */
    public int pendingCount() {
        return pending.get();
    }

    /** Submits an operation; one of the callbacks is called later, on the loop. */
    public <T> void submit(StoreOperation<T> operation, Consumer<T> onSuccess, Runnable onFailure) {
        if (closing || pending.get() >= MAX_PENDING) {
            loop.execute(onFailure);
            return;
        }
        enqueue(new Call<>(operation, onSuccess, onFailure));
    }

    private void enqueue(Call<?> call) {
        JobRecord record = call.operation().record();
        if (record != null) {
            newest.put(record.id(), record);
        }
        pending.incrementAndGet();
        calls.add(call);
    }

    /** Writes a record, retrying until the store has recorded it or a newer one is submitted. */
    public void write(JobRecord record) {
        write(record, () -> {}, () -> {});
    }

    /** As {@link #write(JobRecord)}; one of the callbacks is called after the first attempt. */
    public void write(JobRecord record, Runnable onSuccess, Runnable onFailure) {
        Runnable retryLater =
                () -> {
                    onFailure.run();
                    if (isNewest(record)) {
                        loop.scheduleAfter(RETRY_DELAY_US, () -> rewrite(record));
                    }
                };
        enqueue(new Call<>(new StoreOperation.Put(record), done -> onSuccess.run(), retryLater));
    }

    private void rewrite(JobRecord record) {
        if (isNewest(record)) {
            write(record);
        }
    }

    @SuppressWarnings("ReferenceEquality") // two writes of a job may have equal records
    private boolean isNewest(JobRecord record) {
        return newest.get(record.id()) == record;
    }

    /** Submits an operation, retrying until the store has executed it. */
    public void submitWithRetry(StoreOperation<?> operation) {
        Runnable retryLater =
                () -> loop.scheduleAfter(RETRY_DELAY_US, () -> submitWithRetry(operation));
        enqueue(new Call<>(operation, done -> {}, retryLater));
    }

    private void runThread() {
        FatalErrors.runEssential(THREAD_NAME, this::executeCalls);
    }

    private void executeCalls() {
        try {
            while (!closing || !calls.isEmpty()) {
                List<Call<?>> batch = takeBatch();
                if (!batch.isEmpty()) {
                    executeBatch(batch);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits briefly for a call; returns it with those queued behind it, or an empty list if none
     * came.
     */
    private List<Call<?>> takeBatch() throws InterruptedException {
        List<Call<?>> batch = new ArrayList<>();
        Call<?> first = calls.poll(POLL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (first != null) {
            batch.add(first);
            calls.drainTo(batch, MAX_BATCH - 1);
            pending.addAndGet(-batch.size());
        }
        return batch;
    }

    private void executeBatch(List<Call<?>> batch) {
        try {
            List<Object> results =
                    circuitBreaker.execute(batch.stream().map(Call::operation).toList());
            loop.execute(() -> completeAll(batch, results));
        } catch (StoreException e) {
            loop.execute(() -> batch.forEach(call -> complete(call, e)));
        }
    }

    private void completeAll(List<Call<?>> batch, List<Object> results) {
        for (int i = 0; i < batch.size(); i++) {
            complete(batch.get(i), results.get(i));
        }
    }

    /** Calls a callback; an exception of it must not prevent the other callbacks of the batch. */
    private <T> void complete(Call<T> call, Object result) {
        try {
            if (result instanceof StoreException failure) {
                LOG.debug("event=store_operation_failed reason=\"{}\"", failure.getMessage());
                call.onFailure().run();
            } else {
                succeed(call, result);
            }
        } catch (RuntimeException e) {
            LOG.error("event=store_callback_failed", e);
        }
    }

    @SuppressWarnings("unchecked") // the result of a StoreOperation<T> is a T
    private <T> void succeed(Call<T> call, Object result) {
        JobRecord record = call.operation().record();
        if (record != null && isNewest(record)) {
            newest.remove(record.id());
        }
        call.onSuccess().accept((T) result);
    }

    /** Waits for the pending operations, for a limited time, and closes the store. */
    public void close() {
        closing = true;
        try {
            thread.join(TimeUnit.SECONDS.toMillis(CLOSE_TIMEOUT_S));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }
}
