package damsonslip.platform.client;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How many of the latest ids are remembered. */
class RecentRequestIdsTest {
    @Test
    void forgetsTheOldestIds() {
        RecentRequestIds ids = new RecentRequestIds();
        for (int i = 0; i <= 4_000; i++) {
            ids.add("q" + i);
        }
        assertFalse(ids.contains("q0"));
        assertTrue(ids.contains("q1"));
        assertTrue(ids.contains("q4000"));
    }
}
