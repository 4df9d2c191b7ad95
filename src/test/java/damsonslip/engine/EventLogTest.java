package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.EventLog.Kind;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventLogTest {
    private final EventLog log = new EventLog();

    @Test
    void returnsTheNewestEventsInTheirOrder() {
        log.add(1, Kind.TAKEN, "q", 0, 9);
        log.add(2, Kind.SENT, "q", "a", 0);
        log.add(3, Kind.TAKEN, "r", 0, 9);
        assertEquals(
                List.of("2 sent id=q detail=a figure=0", "3 taken id=r detail=0 figure=9"),
                log.newest(2, ""));
    }

    @Test
    void filtersById() {
        log.add(1, Kind.TAKEN, "q", 0, 9);
        log.add(2, Kind.TAKEN, "r", 0, 9);
        assertEquals(List.of("1 taken id=q detail=0 figure=9"), log.newest(10, "q"));
    }

    /** A thousand ids and reasons of 8 KB each would take an eighth of a small heap. */
    @Test
    void shortensLongTexts() {
        String longId = "q".repeat(8_000);
        log.add(1, Kind.REFUSED_AS_BAD, longId, "unknown class: " + longId, 400);
        List<String> found = log.newest(10, longId);
        assertEquals(1, found.size());
        assertTrue(found.get(0).length() < 1_000, found.get(0).length() + " characters");
    }

    @Test
    void dropsTheOldestEventsWhenItIsFull() {
        for (int i = 0; i < 1_025; i++) {
            log.add(i, Kind.TAKEN, "q", 0, 0);
        }
        List<String> all = log.newest(Integer.MAX_VALUE, "");
        assertEquals(1_024, all.size());
        assertEquals("1 taken id=q detail=0 figure=0", all.get(0));
    }
}
