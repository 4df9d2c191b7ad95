package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** A set of ids of a fixed size, from which the oldest are evicted. */
class IdTableTest {
    private static final int BUCKET_BITS = 4;
    private static final int CAPACITY = IdTable.bytes(BUCKET_BITS) / Long.BYTES;

    private final IdTable table = new IdTable(BUCKET_BITS);

    private Map<Long, Long> entries(long now) {
        Map<Long, Long> entries = new HashMap<>();
        IntStream.range(0, table.buckets())
                .forEach(bucket -> table.forEachIn(bucket, now, entries::put));
        return entries;
    }

    @Test
    void containsWhatWasAdded() {
        assertFalse(table.contains("a"));
        assertTrue(table.add("a", 5));
        assertFalse(table.add("a", 6));
        assertTrue(table.contains("a"));
        assertFalse(table.contains("b"));
    }

    /** Keys are stored elsewhere, and read again by another process. */
    @Test
    void isRestoredFromItsEntries() {
        for (int i = 0; i < CAPACITY / 4; i++) {
            table.add("id" + i, 100 + i);
        }
        IdTable restored = new IdTable(BUCKET_BITS);
        entries(1_000).forEach((key, time) -> restored.addKey(key, time, 1_000));
        for (int i = 0; i < CAPACITY / 4; i++) {
            assertTrue(restored.contains("id" + i), "id" + i);
            assertEquals(100 + i, entries(1_000).get(restored.keyOf("id" + i)));
        }
    }

    @Test
    void evictsTheOldestAndTellsTheirTimes() {
        List<Long> evicted = new ArrayList<>();
        table.onEviction(evicted::add);
        int added = 4 * CAPACITY;
        for (int i = 0; i < added; i++) {
            assertTrue(table.add("id" + i, i));
        }
        assertEquals(added - CAPACITY, evicted.size());
        assertEquals(CAPACITY, entries(added).size());
        double meanEvicted = evicted.stream().mapToLong(Long::longValue).average().orElseThrow();
        double meanKept =
                entries(added).values().stream().mapToLong(Long::longValue).average().orElseThrow();
        assertTrue(meanEvicted < meanKept - CAPACITY, meanEvicted + " " + meanKept);
    }

    /** What is restored late must not displace what was added meanwhile. */
    @Test
    void anOldEntryDoesNotCountTheNewerOnesAsOldest() {
        for (int i = 0; i < 4 * CAPACITY; i++) {
            table.add("id" + i, 1_000);
        }
        table.add("new", 2_000);
        for (int i = 0; i < CAPACITY; i++) {
            table.addKey(table.keyOf("restored" + i), 500, 2_000);
        }
        assertTrue(table.contains("new"));
    }
}
