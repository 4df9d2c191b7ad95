package damsonslip.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Operations on jobs and metadata in the in-memory store. */
class MemoryStoreTest {
    private static final JobRecord.Options OPTIONS =
            new JobRecord.Options("q", "t", "any", 5, 25, 1, 1, 0, 0, "", "", "", 0, false, 0);

    private final MemoryStore store = new MemoryStore();

    private static JobRecord queued(String id) {
        return JobRecord.pushed(id, OPTIONS, 0, 1_000);
    }

    private Object execute(StoreOperation<?> operation) {
        return store.execute(List.of(operation)).get(0);
    }

    @Test
    void addsJobOnceAndReturnsTheExistingRecord() {
        assertNull(execute(new StoreOperation.Add(queued("j"), "{}")));
        assertEquals(queued("j"), execute(new StoreOperation.Add(queued("j"), "{\"other\":1}")));
        assertEquals(List.of("{}"), execute(new StoreOperation.GetBodies(List.of("j"))));
    }

    @Test
    void returnsTheBodyOnReservation() {
        execute(new StoreOperation.Add(queued("j"), "{}"));
        JobRecord reserved = queued("j").reserved("w", 2_000);
        assertEquals("{}", execute(new StoreOperation.Reserve(reserved)));
        assertEquals(reserved, execute(new StoreOperation.Get("j")));
    }

    @Test
    void keepsTheRecordOfAnEndedJobWithoutItsBody() {
        execute(new StoreOperation.Add(queued("j"), "{}"));
        JobRecord ended = queued("j").withState(JobRecord.State.SUCCESS, 0, "", 3_000);
        execute(new StoreOperation.Put(ended));
        assertEquals(ended, execute(new StoreOperation.Get("j")));
        assertEquals(List.of(), execute(new StoreOperation.ListOpen()));
        assertEquals(List.of(), execute(new StoreOperation.LoadOpen(List.of("j", "absent"))));
        assertNull(((List<?>) execute(new StoreOperation.GetBodies(List.of("j")))).get(0));
    }

    @Test
    void deletesMetadataByNull() {
        execute(new StoreOperation.PutMetadata("paused", "q", "1"));
        assertEquals(Map.of("q", "1"), execute(new StoreOperation.GetMetadata("paused")));
        execute(new StoreOperation.PutMetadata("paused", "q", null));
        assertEquals(Map.of(), execute(new StoreOperation.GetMetadata("paused")));
    }

    @Test
    void remembersWhenAWorkerWasFirstSeen() {
        assertEquals(5L, execute(new StoreOperation.RecordFirstSeen("w", 5)));
        assertEquals(5L, execute(new StoreOperation.RecordFirstSeen("w", 9)));
    }
}
