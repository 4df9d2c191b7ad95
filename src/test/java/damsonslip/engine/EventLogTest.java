package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
