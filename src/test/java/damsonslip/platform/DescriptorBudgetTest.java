package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How many connections a scheduler keeps, by its descriptors and its memory. */
class DescriptorBudgetTest {
    private static final int RESERVED = 24;

    /** The connections that the deploy file's heap of 64 MB has room for. */
    private static final int MAX_CONNECTIONS = 2_600;

    private static DescriptorBudget budget(int descriptors) {
        return new DescriptorBudget(descriptors, RESERVED, MAX_CONNECTIONS);
    }

    @Test
    void usesAllDescriptorsWhileMemorySuffices() {
        DescriptorBudget budget = budget(1_024);
        assertEquals(128, budget.clientOverflow(1));
        assertEquals(436, budget.connectionsPerSide(1));
        assertEquals(64, budget.clientOverflow(2));
        assertEquals(212, budget.connectionsPerSide(2));
    }

    /** More descriptors than memory: idle connections alone filled the heap. */
    @Test
    void keepsNoMoreConnectionsThanMemoryAllows() {
        DescriptorBudget budget = budget(65_536);
        int connections = 2 * budget.connectionsPerSide(1) + budget.clientOverflow(1);
        assertTrue(connections <= MAX_CONNECTIONS, connections + " connections");
    }

    /** Deployments of that size are served with the heap of the deploy file. */
    @Test
    void keepsAThousandConnectionsForEachSide() {
        assertTrue(budget(4_096).connectionsPerSide(1) >= 1_024);
    }
}
