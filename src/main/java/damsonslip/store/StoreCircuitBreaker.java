package damsonslip.store;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A circuit breaker around a {@link JobStore}: after a failed call, further calls fail immediately,
 * except for one trial call after each open period. Calls are made on one thread; the state may be
 * read on any thread.
 */
final class StoreCircuitBreaker {
    private static final Logger LOG = LoggerFactory.getLogger(StoreCircuitBreaker.class);

    private static final long OPEN_PERIOD_NS = TimeUnit.MILLISECONDS.toNanos(250);

    private final JobStore store;
    private volatile boolean open;
    private long openUntilNs;

    StoreCircuitBreaker(JobStore store) {
        this.store = store;
    }

    /** Whether the last call to the store succeeded. */
    boolean isClosed() {
        return !open;
    }

    List<Object> execute(List<? extends StoreOperation<?>> operations) throws StoreException {
        if (open && System.nanoTime() < openUntilNs) {
            throw new StoreException("the store is down", null);
        }
        try {
            List<Object> results = callStore(operations);
            if (open) {
                LOG.info("event=store_available");
            }
            open = false;
            return results;
        } catch (StoreException e) {
            if (!open) {
                LOG.warn("event=store_unavailable reason=\"{}\"", e.getMessage());
            }
            open = true;
            openUntilNs = System.nanoTime() + OPEN_PERIOD_NS;
            throw e;
        }
    }

    /** Calls the store; wraps unexpected exceptions, which must not end the thread of all calls. */
    private List<Object> callStore(List<? extends StoreOperation<?>> operations)
            throws StoreException {
        try {
            return store.execute(operations);
        } catch (RuntimeException e) {
            LOG.error("event=store_call_failed", e);
            throw new StoreException("a call to the store failed", e);
        }
    }
}
