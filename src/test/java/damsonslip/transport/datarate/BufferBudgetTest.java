package damsonslip.transport.datarate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.transport.datarate.BufferBudget.Holding;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which connections are closed when buffers exceed the budget. */
class BufferBudgetTest {
    private static final List<Holding<String>> ALL =
            List.of(
                    new Holding<>("small", 100, 0),
                    new Holding<>("still", 900, 0),
                    new Holding<>("moves", 900, 5_000),
                    new Holding<>("crawls", 900, 10));

    @Test
    void choosesNoneWithinBudget() {
        assertEquals(List.of(), BufferBudget.over(2_800, ALL));
    }

    @Test
    void choosesLargestWithLeastProgressAndNoMoreThanNeeded() {
        assertEquals(List.of("still"), BufferBudget.over(2_799, ALL));
        assertEquals(List.of("still", "crawls"), BufferBudget.over(1_000, ALL));
        assertEquals(List.of("still", "crawls", "small", "moves"), BufferBudget.over(0, ALL));
    }
}
