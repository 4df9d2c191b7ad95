package damsonslip.store;

import damsonslip.core.Loop;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls the store on a thread of its own, in the order asked, and tells the loop how that went. The queue is
 * bounded: a store that hangs fails calls, and does not fill the memory.
 */
public final class AsyncStore {
    private static final Logger LOG = LoggerFactory.getLogger(AsyncStore.class);
    private static final int MOST_WAITING = 4_000;
    /** While the store is down, calls fail at once and only one in this time tries it. */
    private static final long DOWN_NS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long FINAL_RETRY_US = 500_000;

    private final Loop loop;
    private final JobStore store;
    private final ThreadPoolExecutor thread = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS,
        new LinkedBlockingQueue<>(MOST_WAITING), task -> {
            Thread t = new Thread(task, "store");
            t.setDaemon(true);
            return t;
        });
    private long downUntilNs;
    private boolean down;

    /** A call to the store. */
    public interface Call<T> {
        T on(JobStore store) throws StoreException;
    }

    public AsyncStore(Loop loop, JobStore store) {
        this.loop = loop;
        this.store = store;
    }

    /** Asks the store; one of the two is called later, on the loop. */
    public <T> void ask(Call<T> call, Consumer<T> then, Runnable failed) {
        try {
            thread.execute(() -> {
                try {
                    T result = guarded(call);
                    loop.execute(() -> then.accept(result));
                } catch (StoreException e) {
                    loop.execute(failed);
                }
            });
        } catch (RejectedExecutionException e) {
            loop.execute(failed);
        }
    }

    /** Writes a final state, again and again until the store has it. */
    public void keep(JobRecord record) {
        ask(s -> {
            s.put(record);
            return null;
        }, done -> { }, () -> loop.in(FINAL_RETRY_US, () -> keep(record)));
    }

    private <T> T guarded(Call<T> call) throws StoreException {
        if (down && System.nanoTime() < downUntilNs) {
            throw new StoreException("the store is down", null);
        }
        try {
            T result = call.on(store);
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

    /** Lets what is asked be done, for a while, and closes the store. */
    public void close() {
        thread.shutdown();
        try {
            thread.awaitTermination(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }
}
