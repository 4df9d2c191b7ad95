package damsonslip.store;

import java.util.List;

/**
 * Persists jobs beyond the life of the process. Calls block until the store has answered, so none
 * may be made on the event loop; see {@link AsyncStore}.
 */
public interface JobStore extends AutoCloseable {
    /**
     * Carries out operations in their order.
     *
     * @return for each operation its result, or the {@link StoreException} with which it alone
     *     failed
     * @throws StoreException if the store did not answer; whether any operation took effect is not
     *     known
     */
    List<Object> execute(List<? extends StoreOperation<?>> operations) throws StoreException;

    @Override
    void close();
}
