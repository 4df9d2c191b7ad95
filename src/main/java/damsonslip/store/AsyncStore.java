package damsonslip.store;

import damsonslip.engine.EventLoop;
import damsonslip.engine.FatalErrors;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asynchronous access to a {@link JobStore} from the event loop. Operations are executed on a
 * dedicated thread in the order of submission, many in one round trip, and their results are
 * handled on the loop. Writes that state what is to be stored are repeated here, and nowhere else,
 * until the store has executed them or a newer write of the same key follows; no operation on a key
 * is executed before an earlier write of it. At a maximum number of pending operations, which is
 * reached while the store hangs, {@link #submit} fails immediately.
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
    private static final Runnable NOTHING = () -> {};
    private static final StoreException EARLIER_WRITE_MISSING =
            new StoreException("an earlier write of the same key is not in the store yet", null);

    private static final long RETRY_DELAY_US = 500_000;
    private static final long POLL_TIMEOUT_MS = 100;
    private static final long CLOSE_TIMEOUT_S = 2;

    /**
     * An operation that waits for its turn.
     *
     * @param repeated whether it is repeated until it succeeds
     */
    private record Call<T>(
            StoreOperation<T> operation,
            boolean repeated,
            Consumer<T> onSuccess,
            Runnable onFailure) {}

    private final EventLoop loop;
    private final JobStore store;
    private final StoreCircuitBreaker circuitBreaker;
    private final LinkedBlockingQueue<Call<?>> calls = new LinkedBlockingQueue<>();
    private final AtomicInteger pending = new AtomicInteger();
    private final Thread thread = new Thread(this::runThread, THREAD_NAME);

    private final RepeatedWrites writes = new RepeatedWrites();
    private final UnwrittenKeys unwritten = new UnwrittenKeys();

    private volatile boolean closing;
    private volatile Runnable availabilityListener = NOTHING;

    /** Starts the thread that calls the store. */
    public AsyncStore(EventLoop loop, JobStore store) {
        this.loop = loop;
        this.store = store;
        this.circuitBreaker = new StoreCircuitBreaker(store);
        thread.setDaemon(true);
        thread.start();
    }

    /** Sets the listener that is called on the loop when the store is available again. */
    public void onAvailable(Runnable listener) {
        availabilityListener = listener;
    }

    /** Whether the last call to the store succeeded. */
    public boolean isAvailable() {
        return circuitBreaker.isClosed();
    }

    /** Returns the number of operations that wait to be executed. */
    public int pendingCount() {
        return pending.get();
    }

    /**
     * Submits an operation that is attempted once; one of the callbacks is called later, on the
     * loop. After a failure it is unknown whether the store has executed it. It is executed only if
     * all earlier writes of its keys are in the store.
     */
    public <T> void submit(StoreOperation<T> operation, Consumer<T> onSuccess, Runnable onFailure) {
        if (closing || pending.get() >= MAX_PENDING) {
            loop.execute(onFailure);
            return;
        }
        writes.awaitingRepeat(operation.keys()).forEach(this::repeat);
        enqueue(new Call<>(operation, false, onSuccess, onFailure));
    }

    /** Writes a record, repeating that until the store has it or a newer write follows. */
    public void write(JobRecord record) {
        write(record, NOTHING, NOTHING);
    }

    /** As {@link #write(JobRecord)}; one of the callbacks is called after the first attempt. */
    public void write(JobRecord record, Runnable onSuccess, Runnable onFailure) {
        writeRepeatedly(new StoreOperation.Put(record), onSuccess, onFailure);
    }

    /**
     * Writes a value of the metadata, or with null deletes it, repeating that until the store has
     * it or a newer write follows.
     */
    public void putMetadata(String kind, String key, String value) {
        putMetadata(kind, key, value, NOTHING, NOTHING);
    }

    /** As the other method; one of the callbacks is called after the first attempt. */
    public void putMetadata(
            String kind, String key, String value, Runnable onSuccess, Runnable onFailure) {
        writeRepeatedly(new StoreOperation.PutMetadata(kind, key, value), onSuccess, onFailure);
    }

    /**
     * As {@link #putMetadata(String, String, String)}, for values that the store forgets together
     * with all others of their kind.
     *
     * @param expiryS the time in seconds after which the kind is forgotten
     */
    public void putMetadata(String kind, String key, String value, long expiryS) {
        writeRepeatedly(
                new StoreOperation.PutMetadata(kind, key, value, expiryS), NOTHING, NOTHING);
    }

    /** Deletes jobs, repeating that until the store has done it or newer writes follow. */
    public void delete(List<String> ids) {
        delete(ids, NOTHING, NOTHING);
    }

    /** As the other method; one of the callbacks is called after the first attempt. */
    public void delete(List<String> ids, Runnable onSuccess, Runnable onFailure) {
        writeRepeatedly(new StoreOperation.Delete(List.copyOf(ids)), onSuccess, onFailure);
    }

    private void writeRepeatedly(
            StoreOperation<Void> operation, Runnable onSuccess, Runnable onFailure) {
        attempt(writes.begin(operation), operation, onSuccess, onFailure);
    }

    private void attempt(
            RepeatedWrites.Write write,
            StoreOperation<Void> operation,
            Runnable onSuccess,
            Runnable onFailure) {
        enqueue(
                new Call<>(
                        operation,
                        true,
                        done -> {
                            writes.succeeded(write);
                            onSuccess.run();
                        },
                        () -> {
                            onFailure.run(); // may submit a newer write
                            repeatLater(write);
                        }));
    }

    private void repeatLater(RepeatedWrites.Write write) {
        if (writes.failed(write)) {
            loop.scheduleAfter(RETRY_DELAY_US, () -> repeat(write));
        }
    }

    private void repeat(RepeatedWrites.Write write) {
        StoreOperation<Void> operation = writes.repeat(write);
        if (operation != null) {
            attempt(write, operation, NOTHING, NOTHING);
        }
    }

    private void enqueue(Call<?> call) {
        pending.incrementAndGet();
        calls.add(call);
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
     * came. An operation that depends on a write in the same batch is left for the next one, since
     * the write may fail alone.
     */
    private List<Call<?>> takeBatch() throws InterruptedException {
        List<Call<?>> batch = new ArrayList<>();
        Set<StoreKey> written = new HashSet<>();
        Call<?> next = calls.poll(POLL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        while (next != null) {
            batch.add(next);
            if (next.repeated()) {
                written.addAll(next.operation().keys());
            }
            next = batch.size() < MAX_BATCH ? pollUnlessDependent(written) : null;
        }
        pending.addAndGet(-batch.size());
        return batch;
    }

    private Call<?> pollUnlessDependent(Set<StoreKey> written) {
        Call<?> next = calls.peek();
        boolean dependent =
                next != null
                        && !next.repeated()
                        && next.operation().keys().stream().anyMatch(written::contains);
        return dependent ? null : calls.poll();
    }

    private void executeBatch(List<Call<?>> batch) {
        List<Call<?>> blocked = batch.stream().filter(this::isBlocked).toList();
        List<Call<?>> executable = batch.stream().filter(call -> !isBlocked(call)).toList();
        if (!blocked.isEmpty()) {
            loop.execute(() -> blocked.forEach(call -> complete(call, EARLIER_WRITE_MISSING)));
        }
        if (executable.isEmpty()) {
            return;
        }
        boolean wasAvailable = circuitBreaker.isClosed();
        List<Object> results = execute(executable);
        if (!wasAvailable && circuitBreaker.isClosed()) {
            loop.execute(availabilityListener);
        }
        for (int i = 0; i < executable.size(); i++) {
            recordWrite(executable.get(i), results.get(i));
        }
        loop.execute(() -> completeAll(executable, results));
    }

    private boolean isBlocked(Call<?> call) {
        return !call.repeated() && unwritten.blocks(call.operation());
    }

    /** Returns a result for each call, which may be a {@link StoreException}. */
    private List<Object> execute(List<Call<?>> batch) {
        try {
            return circuitBreaker.execute(batch.stream().map(Call::operation).toList());
        } catch (StoreException e) {
            return Collections.nCopies(batch.size(), e);
        }
    }

    private void recordWrite(Call<?> call, Object result) {
        if (call.repeated()) {
            unwritten.written(call.operation().keys(), !(result instanceof StoreException));
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
