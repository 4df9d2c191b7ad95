package damsonslip.store;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The keys whose newest write has failed and is going to be repeated. Until then no operation that
 * depends on the stored state of such a key is executed: it would see, or be followed by, an older
 * state. Confined to the thread that calls the store.
 */
final class UnwrittenKeys {
    private final Set<StoreKey> keys = new HashSet<>();

    /** Whether a key of this operation is missing a write. */
    boolean blocks(StoreOperation<?> operation) {
        return !keys.isEmpty() && operation.keys().stream().anyMatch(keys::contains);
    }

    /** Records the outcome of a write that is repeated until it succeeds. */
    void written(List<StoreKey> ofWrite, boolean succeeded) {
        if (succeeded) {
            ofWrite.forEach(keys::remove);
        } else {
            keys.addAll(ofWrite);
        }
    }
}
