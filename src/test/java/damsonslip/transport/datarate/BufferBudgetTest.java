package damsonslip.transport.datarate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.transport.datarate.BufferBudget.Usage;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The choice of connections to close when buffers exceed the budget. */
class BufferBudgetTest {
    private static final List<Usage<String>> ALL =
            List.of(
                    new Usage<>("small", 100, 0),
                    new Usage<>("still", 900, 0),
                    new Usage<>("moves", 900, 5_000),
                    new Usage<>("crawls", 900, 10));

    @Test
    void choosesNoneWithinBudget() {
        assertEquals(List.of(), BufferBudget.chooseOverBudget(2_800, ALL));
    }

    @Test
    void choosesLargestWithLeastProgressAndOnlyAsManyAsNeeded() {
        assertEquals(List.of("still"), BufferBudget.chooseOverBudget(2_799, ALL));
        assertEquals(List.of("still", "crawls"), BufferBudget.chooseOverBudget(1_000, ALL));
        assertEquals(
                List.of("still", "crawls", "small", "moves"),
                BufferBudget.chooseOverBudget(0, ALL));
    }
}
