package damsonslip.store;

import java.util.List;

/**
 * Where jobs outlive the program: a port. Calls wait for their answer, so none is made on the loop.
 */
public interface JobStore extends AutoCloseable {
    /**
     * Carries these out in their order.
     *
     * @return for each what it gives, or the {@link StoreException} with which it alone failed
     * @throws StoreException if the store did not answer; whether any of them was done is not known
     */
    List<Object> run(List<? extends StoreOperation<?>> ops) throws StoreException;

    @Override
    void close();
}
