package damsonslip.compatibility;

import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import org.junit.jupiter.api.Test;

/**
 * The names and the order of all counters on the program's last line. Many of them count events too
 * rare to provoke, so that this test reads the names from the class itself; it is the only class of
 * the program that the tests of this package use.
 */
class CounterNamesTest {
    @Test
    void keepsAllNamesInTheirOrder() throws Exception {
        Counters counters = new Counters();
        for (Count count : Count.values()) {
            counters.add(count);
        }
        new Recording("counter-names").add("the last line", counters.toString()).verify();
    }
}
