package damsonslip.store;

import java.util.ArrayList;
import java.util.List;

/** An in-memory store for trials: its content is lost when the process ends. Thread-safe. */
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
