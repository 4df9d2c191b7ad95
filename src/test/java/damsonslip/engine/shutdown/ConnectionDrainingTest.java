package damsonslip.engine.shutdown;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.engine.shutdown.ConnectionDraining.Action;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConnectionDrainingTest {
    /**
     * Times in ms after the drain; what matters is that nothing taken late can be open 4 s after
     * the call.
     */
    @ParameterizedTest
    @CsvSource({
        "100, false, false, -9000, KEEP", "499, false, false, -9000, KEEP",
                "500, false, false, -9000, CLOSE",
        "500, false, false, 300, KEEP", "600, false, false, 300, CLOSE",
                "700, false, true, -9000, KEEP",
        "1599, false, true, -9000, KEEP", "1600, false, true, -9000, REJECT",
                "1600, false, false, 1590, CLOSE",
        "5000, true, false, -9000, KEEP", "2500, false, false, 2499, CLOSE"
    })
    void connectionsAreKeptClosedOrRejected(
            long nowMs, boolean busy, boolean midway, long idleSinceMs, Action action) {
        long began = 1_000_000_000;
        assertEquals(
                action,
                ConnectionDraining.forOperatorDrain(began)
                        .actionFor(began + nowMs * 1000, busy, midway, began + idleSinceMs * 1000));
    }
}
