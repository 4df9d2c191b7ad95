package damsonslip.store;

import java.util.List;

/**
 * Persists jobs beyond the lifetime of the process. Calls block until the store has answered, so
 * they must not be made on the event loop; see {@link AsyncStore}.
 */
public interface JobStore extends AutoCloseable {
    /**
     * Executes operations in the given order.
     *
     * @return for each operation its result, or a {@link StoreException} if only that operation
     *     failed
     * @throws StoreException if the store did not answer; any of the operations may have taken
     *     effect
     */
    List<Object> execute(List<? extends StoreOperation<?>> operations) throws StoreException;

    @Override
    void close();
}
