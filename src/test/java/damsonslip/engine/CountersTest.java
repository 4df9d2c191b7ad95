package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.engine.Counters.Count;
import org.junit.jupiter.api.Test;

class CountersTest {
    @Test
    void printsNonZeroCountersInTheOrderOfTheConstants() {
        Counters counters = new Counters();
        assertEquals("counters", counters.toString());
        counters.add(Count.PROBES_SENT);
        counters.add(Count.QUERIES_TAKEN);
        counters.add(Count.QUERIES_TAKEN);
        assertEquals("counters queries_taken=2 probes_sent=1", counters.toString());
        assertEquals(2, counters.get(Count.QUERIES_TAKEN));
        assertEquals(0, counters.get(Count.QUERIES_BAD));
    }
}
