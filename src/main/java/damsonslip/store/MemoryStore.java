package damsonslip.store;

import java.util.ArrayList;
import java.util.List;

/** A store in memory, for trials: its content ends with the process. Thread-safe. */
public final class MemoryStore implements JobStore {
    private final MemoryOperations content = new MemoryOperations();

    @Override
    public synchronized List<Object> execute(List<? extends StoreOperation<?>> operations) {
        List<Object> results = new ArrayList<>(operations.size());
        operations.forEach(operation -> results.add(operation.accept(content)));
        return results;
    }

    @Override
    public void close() {}
}
