package damsonslip.engine.shutdown;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.engine.shutdown.ConnectionDraining.Action;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConnectionDrainingTest {
    private static final long DRAINED_AT_US = 1_000_000_000;

    /**
     * Times in milliseconds after the drain began. A request that is accepted later than 2 s after
     * the command must not be open 4 s after it.
     */
    @ParameterizedTest
    @CsvSource({
        "100, false, false, -9000, KEEP",
        "499, false, false, -9000, KEEP",
        "500, false, false, -9000, CLOSE",
        "500, false, false, 300, KEEP",
        "600, false, false, 300, CLOSE",
        "700, false, true, -9000, KEEP",
        "1599, false, true, -9000, KEEP",
        "1600, false, true, -9000, REJECT",
        "1600, false, false, 1590, CLOSE",
        "5000, true, false, -9000, KEEP",
        "2500, false, false, 2499, CLOSE"
    })
    void keepsClosesOrRejectsByTimeAndConnectionState(
            long nowMs, boolean busy, boolean partiallyRead, long idleSinceMs, Action expected) {
        ConnectionDraining draining = ConnectionDraining.forOperatorDrain(DRAINED_AT_US);
        long nowUs = DRAINED_AT_US + nowMs * 1_000;
        long idleSinceUs = DRAINED_AT_US + idleSinceMs * 1_000;
        assertEquals(expected, draining.actionFor(nowUs, busy, partiallyRead, idleSinceUs));
    }
}
