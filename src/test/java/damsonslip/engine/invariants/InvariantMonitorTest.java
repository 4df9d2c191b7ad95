package damsonslip.engine.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.invariants.InvariantMonitor.Mode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class InvariantMonitorTest {
    @Test
    void reportsEveryViolationAndRefusesInRefuseModeOnly() {
        List<Violation> reported = new ArrayList<>();
        Optional<Violation> violation =
                CloseGuard.checkClientConnection(new CloseGuard.Facts("q", true, false, "idle"));
        InvariantMonitor reporting = new InvariantMonitor(Mode.REPORT, reported::add);
        assertTrue(reporting.permits(violation));
        assertTrue(reporting.permits(Optional.empty()));
        assertFalse(new InvariantMonitor(Mode.REFUSE, reported::add).permits(violation));
        assertEquals(1, reporting.count(Invariant.NO_CLOSE_WITHOUT_ANSWER));
        assertEquals(1, reporting.total());
        assertEquals(2, reported.size());
    }
}
