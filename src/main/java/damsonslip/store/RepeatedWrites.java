package damsonslip.store;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The writes that are repeated until the store has executed them, the newest for each key. A write
 * that is followed by a newer one of the same key is not repeated any more: it would put an older
 * state over a newer one. Without I/O; confined to the event loop.
 */
final class RepeatedWrites {
    /** One write; for several keys while some of them have no newer one. */
    static final class Write {
        private final StoreOperation<Void> operation;

        /** Whether the last attempt has failed and the next one has not been made yet. */
        private boolean awaitingRepeat;

        private Write(StoreOperation<Void> operation) {
            this.operation = operation;
        }

        StoreOperation<Void> operation() {
            return operation;
        }
    }

    private final Map<StoreKey, Write> newest = new HashMap<>();

    /** Records a write that is being attempted; it replaces older ones of the same keys. */
    Write begin(StoreOperation<Void> operation) {
        Write write = new Write(operation);
        operation.keys().forEach(key -> newest.put(key, write));
        return write;
    }

    /** Records that the store has executed a write. */
    void succeeded(Write write) {
        write.operation.keys().forEach(key -> newest.remove(key, write));
    }

    /** Records that an attempt has failed; returns whether the write has to be repeated. */
    boolean failed(Write write) {
        write.awaitingRepeat = !remainingKeys(write).isEmpty();
        return write.awaitingRepeat;
    }

    /**
     * Begins the next attempt.
     *
     * @return the operation for those keys that have no newer write; null if there are none, or the
     *     next attempt has been made already
     */
    StoreOperation<Void> repeat(Write write) {
        Set<StoreKey> remaining = remainingKeys(write);
        if (!write.awaitingRepeat || remaining.isEmpty()) {
            return null;
        }
        write.awaitingRepeat = false;
        return write.operation.limitedTo(remaining);
    }

    /**
     * Returns the failed writes of these keys that await their repetition: they have to be repeated
     * before another operation on the same key is executed.
     */
    Set<Write> awaitingRepeat(List<StoreKey> keys) {
        Set<Write> writes = new LinkedHashSet<>();
        for (StoreKey key : keys) {
            Write write = newest.get(key);
            if (write != null && write.awaitingRepeat) {
                writes.add(write);
            }
        }
        return writes;
    }

    private Set<StoreKey> remainingKeys(Write write) {
        Set<StoreKey> remaining = new LinkedHashSet<>();
        for (StoreKey key : write.operation.keys()) {
            if (isNewest(key, write)) {
                remaining.add(key);
            }
        }
        return remaining;
    }

    @SuppressWarnings("ReferenceEquality") // two writes of a key may have equal operations
    private boolean isNewest(StoreKey key, Write write) {
        return newest.get(key) == write;
    }
}
