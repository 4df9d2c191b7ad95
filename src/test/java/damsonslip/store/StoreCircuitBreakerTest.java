package damsonslip.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The circuit breaker around a store that fails. */
class StoreCircuitBreakerTest {
    /** A store that fails on demand and counts its calls. */
    private static final class FailingStore implements JobStore {
        private boolean failing;
        private boolean throwing;
        private int calls;

        @Override
        public List<Object> execute(List<? extends StoreOperation<?>> operations)
                throws StoreException {
            calls++;
            if (throwing) {
                throw new IllegalStateException("a fault in the store's client");
            }
            if (failing) {
                throw new StoreException("no answer", null);
            }
            return List.of();
        }

        @Override
        public void close() {}
    }

    private final FailingStore store = new FailingStore();
    private final StoreCircuitBreaker breaker = new StoreCircuitBreaker(store);

    @Test
    void failsFurtherCallsImmediatelyAfterAFailedOne() throws StoreException {
        breaker.execute(List.of());
        assertTrue(breaker.isClosed());
        store.failing = true;
        assertThrows(StoreException.class, () -> breaker.execute(List.of()));
        assertFalse(breaker.isClosed());
        assertThrows(StoreException.class, () -> breaker.execute(List.of()));
        assertEquals(2, store.calls);
    }

    @Test
    void wrapsUnexpectedExceptionInStoreException() {
        store.throwing = true;
        assertThrows(StoreException.class, () -> breaker.execute(List.of()));
        assertFalse(breaker.isClosed());
    }
}
