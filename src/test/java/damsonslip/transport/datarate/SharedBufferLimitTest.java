package damsonslip.transport.datarate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which connections are closed when all of them together hold too much memory. */
class SharedBufferLimitTest {
    private static final long MAX_BYTES = 1_000;
    private static final long SECOND_US = 1_000_000;

    private final SharedBufferLimit<String> limit = new SharedBufferLimit<>(MAX_BYTES);

    @Test
    void choosesNoneWithinMaximum() {
        limit.setIncomplete("a", 600, 0);
        limit.setIncomplete("b", 400, 0);
        assertEquals(List.of(), limit.chooseExcess(SECOND_US));
    }

    @Test
    void choosesStalledPeerBeforeFastOneOfSameSize() {
        limit.setIncomplete("stalled", 500, 0);
        limit.setIncomplete("fast", 501, SECOND_US);
        assertEquals(List.of("stalled"), limit.chooseExcess(SECOND_US + 1));
    }

    @Test
    void choosesLargeMessageBeforeSmallOlderOne() {
        limit.setIncomplete("small", 10, 0);
        limit.setIncomplete("large", 991, SECOND_US);
        assertEquals(List.of("large"), limit.chooseExcess(2 * SECOND_US));
    }

    @Test
    void choosesNoMoreThanNeeded() {
        for (int i = 0; i < 15; i++) {
            limit.setIncomplete("c" + i, 100, i);
        }
        assertEquals(List.of("c0", "c1", "c2", "c3", "c4"), limit.chooseExcess(SECOND_US));
    }

    /** A message that grows keeps its age: trickling bytes must not make it young again. */
    @Test
    void countsAgeFromFirstBytes() {
        limit.setIncomplete("trickling", 400, 0);
        limit.setIncomplete("young", 500, SECOND_US);
        limit.setIncomplete("trickling", 501, SECOND_US + 1);
        assertEquals(List.of("trickling"), limit.chooseExcess(SECOND_US + 2));
    }

    @Test
    void acceptedMessagesCountButAreNotChosen() {
        assertTrue(limit.tryAccept(900));
        limit.setIncomplete("a", 101, 0);
        assertEquals(List.of("a"), limit.chooseExcess(SECOND_US));
        limit.removeIncomplete("a");
        assertFalse(limit.tryAccept(101));
        limit.release(900);
        assertTrue(limit.tryAccept(101));
        assertEquals(101, limit.heldBytes());
    }
}
