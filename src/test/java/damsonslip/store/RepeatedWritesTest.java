package damsonslip.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.store.RepeatedWrites.Write;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which failed writes are repeated. */
class RepeatedWritesTest {
    private static final StoreOperation<Void> PAUSE =
            new StoreOperation.PutMetadata("paused", "q", "1");
    private static final StoreOperation<Void> RESUME =
            new StoreOperation.PutMetadata("paused", "q", null);

    private final RepeatedWrites writes = new RepeatedWrites();

    @Test
    void repeatsFailedWriteOnce() {
        Write pause = writes.begin(PAUSE);
        assertTrue(writes.failed(pause));
        assertEquals(PAUSE, writes.repeat(pause));
        assertNull(writes.repeat(pause), "the repeated attempt has no outcome yet");
    }

    /** Guards against an older state that is put over a newer one. */
    @Test
    void doesNotRepeatWriteThatNewerOneFollows() {
        Write pause = writes.begin(PAUSE);
        Write resume = writes.begin(RESUME);
        assertFalse(writes.failed(pause));
        assertNull(writes.repeat(pause));
        writes.succeeded(resume);
        assertNull(writes.repeat(pause));
    }

    @Test
    void doesNotRepeatWriteSupersededWhileItWaits() {
        Write pause = writes.begin(PAUSE);
        assertTrue(writes.failed(pause));
        writes.succeeded(writes.begin(RESUME));
        assertNull(writes.repeat(pause));
    }

    @Test
    void repeatsDeleteForJobsWithoutNewerWrite() {
        StoreOperation.Delete delete = new StoreOperation.Delete(List.of("a", "b", "c"));
        Write deleted = writes.begin(delete);
        writes.begin(new StoreOperation.Delete(List.of("b")));
        assertTrue(writes.failed(deleted));
        assertEquals(new StoreOperation.Delete(List.of("a", "c")), writes.repeat(deleted));
    }

    @Test
    void namesWritesThatLaterOperationsDependOn() {
        Write delete = writes.begin(new StoreOperation.Delete(List.of("a", "b")));
        List<StoreKey> keys = List.of(StoreKey.ofJob("b"));
        assertEquals(Set.of(), writes.awaitingRepeat(keys), "it has not failed");
        writes.failed(delete);
        assertEquals(Set.of(delete), writes.awaitingRepeat(keys));
        assertEquals(Set.of(), writes.awaitingRepeat(List.of(StoreKey.ofJob("c"))));
    }
}
