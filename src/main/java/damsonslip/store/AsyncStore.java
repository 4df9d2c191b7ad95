package damsonslip.store;

import damsonslip.engine.EventLoop;
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
 * Calls the store on a thread of its own, in the order asked, and tells the loop how that went.
 * Whatever has come together while the store was busy goes there in one journey. What waits is
 * bounded: a store that hangs fails calls, and does not fill the memory.
 */
public final class AsyncStore {
    private static final Logger LOG = LoggerFactory.getLogger(AsyncStore.class);

    /**
     * About what a store does in a second; a call that has to wait for longer is better told at
     * once.
     */
    private static final int MOST_WAITING = 40_000;

    /** So many go together at the most: a journey stays well within the store's time limit. */
    private static final int MOST_TOGETHER = 512;

    /** While the store is down, calls fail at once and only one in this time tries it. */
    private static final long DOWN_NS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final long KEEP_RETRY_US = 500_000;
    private static final long LAST_WAIT_S = 2;

    private record Call<T>(StoreOperation<T> op, Consumer<T> then, Runnable failed) {}

    private final EventLoop loop;
    private final JobStore store;
    private final LinkedBlockingQueue<Call<?>> calls = new LinkedBlockingQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final Thread thread = new Thread(this::work, "store");

    /**
     * The newest record of each job that is on its way: an older one that failed must not be
     * written after it.
     */
    private final Map<String, JobRecord> newest = new HashMap<>();

    private volatile boolean closing;
    private volatile boolean down;
    private long downUntilNs;

    public AsyncStore(EventLoop loop, JobStore store) {
        this.loop = loop;
        this.store = store;
        thread.setDaemon(true);
        thread.start();
    }

    /** Whether the store answered when it was last asked. */
    public boolean up() {
        return !down;
    }

    /** Calls that wait for the store. */
    public int waiting() {
        return waiting.get();
    }

    /** Asks the store; one of the two is called later, on the loop. Called on the loop. */
    public <T> void ask(StoreOperation<T> op, Consumer<T> then, Runnable failed) {
        if (closing || waiting.get() >= MOST_WAITING) {
            loop.execute(failed);
            return;
        }
        enqueue(new Call<>(op, then, failed));
    }

    private void enqueue(Call<?> call) {
        JobRecord record = call.op().record();
        if (record != null) {
            newest.put(record.id(), record);
        }
        waiting.incrementAndGet();
        calls.add(call);
    }

    /**
     * Writes a record, again and again until the store has it or a newer one is written. Called on
     * the loop.
     */
    public void keep(JobRecord record) {
        keep(record, () -> {}, () -> {});
    }

    /** The same; tells how the first try went. */
    public void keep(JobRecord record, Runnable then, Runnable failed) {
        enqueue(
                new Call<>(
                        new StoreOperation.Put(record),
                        done -> then.run(),
                        () -> {
                            failed.run();
                            if (newest.get(record.id()) == record) {
                                loop.in(
                                        KEEP_RETRY_US,
                                        () -> {
                                            if (newest.get(record.id()) == record) {
                                                keep(record);
                                            }
                                        });
                            }
                        }));
    }

    /** Does it again and again until the store has done it. */
    public void insist(StoreOperation<?> op) {
        enqueue(new Call<>(op, done -> {}, () -> loop.in(KEEP_RETRY_US, () -> insist(op))));
    }

    private void work() {
        List<Call<?>> together = new ArrayList<>();
        while (!closing || !calls.isEmpty()) {
            together.clear();
            try {
                Call<?> first = calls.poll(100, TimeUnit.MILLISECONDS);
                if (first == null) {
                    continue;
                }
                together.add(first);
            } catch (InterruptedException e) {
                return;
            }
            calls.drainTo(together, MOST_TOGETHER - 1);
            waiting.addAndGet(-together.size());
            carryOut(List.copyOf(together));
        }
    }

    private void carryOut(List<Call<?>> together) {
        List<Object> results;
        try {
            results = guarded(together.stream().map(Call::op).toList());
        } catch (StoreException e) {
            loop.execute(() -> together.forEach(call -> tell(call, e)));
            return;
        }
        loop.execute(
                () -> {
                    for (int i = 0; i < together.size(); i++) {
                        tell(together.get(i), results.get(i));
                    }
                });
    }

    @SuppressWarnings("unchecked") // an Op<T> gives a T
    private <T> void tell(Call<T> call, Object result) {
        JobRecord record = call.op().record();
        try {
            if (result instanceof StoreException e) {
                LOG.debug("{}", e.getMessage());
                call.failed().run();
            } else {
                if (record != null && newest.get(record.id()) == record) {
                    newest.remove(record.id());
                }
                call.then().accept((T) result);
            }
        } catch (RuntimeException e) { // guards the others that came together with it
            LOG.error("a task failed and was dropped", e);
        }
    }

    private List<Object> guarded(List<? extends StoreOperation<?>> ops) throws StoreException {
        if (down && System.nanoTime() < downUntilNs) {
            throw new StoreException("the store is down", null);
        }
        try {
            List<Object> result = run(ops);
            if (down) {
                LOG.info("the store answers again");
            }
            down = false;
            return result;
        } catch (StoreException e) {
            if (!down) {
                LOG.warn("{}", e.getMessage());
            }
            down = true;
            downUntilNs = System.nanoTime() + DOWN_NS;
            throw e;
        }
    }

    /** Guards the thread, and with it every later call, against a fault in one. */
    private List<Object> run(List<? extends StoreOperation<?>> ops) throws StoreException {
        try {
            return store.run(ops);
        } catch (RuntimeException e) {
            LOG.error("a call to the store failed", e);
            throw new StoreException("a call to the store failed", e);
        }
    }

    /** Lets what is asked be done, for a while, and closes the store. */
    public void close() {
        closing = true;
        try {
            thread.join(TimeUnit.SECONDS.toMillis(LAST_WAIT_S));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }
}
