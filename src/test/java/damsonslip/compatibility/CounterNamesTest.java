package damsonslip.compatibility;

import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import org.junit.jupiter.api.Test;

/**
 * The names and the order of all counters on the program's last line. Many of them count rare
 * events, so that the names are taken from the class itself, the only one that these tests use.
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
