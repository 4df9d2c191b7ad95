package damsonslip.transport.datarate;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** What peers may make a process hold leaves room for the program itself. */
class HeapShareTest {
    private static final long HEAP_BYTES = 64L << 20;

    /** The old generation of the collector that the deploy file chooses has two thirds. */
    private static final long OLD_GENERATION_BYTES = HEAP_BYTES * 2 / 3 + 1;

    private static long sum(Set<HeapShare> shares) {
        return shares.stream().mapToLong(share -> share.bytesOf(HEAP_BYTES)).sum();
    }

    @Test
    void sharesOfEachFrontLeaveAThird() {
        long platform =
                sum(
                        Set.of(
                                HeapShare.CONNECTIONS,
                                HeapShare.CLIENT_REQUESTS,
                                HeapShare.CLIENT_RESPONSES,
                                HeapShare.WORKER_RESPONSES));
        long faktory = sum(Set.of(HeapShare.CONNECTIONS, HeapShare.COMMANDS, HeapShare.REPLIES));
        assertTrue(platform <= OLD_GENERATION_BYTES, platform + " bytes");
        assertTrue(faktory <= OLD_GENERATION_BYTES, faktory + " bytes");
    }
}
