package damsonslip.platform.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.LoadReport;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Decoding of the lines and headers by which workers report jobs and their load. */
class JobProgressTest {
    private static Optional<JobProgress> decode(String members) {
        return JobProgress.decode("{\"id\":\"q1\"," + members + "}", "q1");
    }

    @ParameterizedTest
    @CsvSource({
        "started, STARTED",
        "running, RUNNING",
        "done, COMPLETED",
        "failed, FAILED",
        "returned, HANDED_BACK",
        "lost, KILLED"
    })
    void mapsStatesOnTheWire(String onTheWire, JobProgress.State state) {
        JobProgress progress =
                decode("\"state\":\"" + onTheWire + "\",\"result\":\"r\"").orElseThrow();
        assertEquals(state, progress.state());
        assertEquals("r", progress.result());
        assertNull(progress.loadReport());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"id\":\"q2\",\"state\":\"started\"}",
                "{\"id\":\"q1\",\"state\":\"jumping\"}",
                "{\"id\":\"q1\",\"state\":\"done\"}",
                "{\"id\":\"q1\"",
                "[]",
                " "
            })
    void ignoresLinesThatReportNothingOnTheJob(String line) {
        assertTrue(JobProgress.decode(line, "q1").isEmpty(), line);
    }

    @Test
    void readsTheLoadReportOfALine() {
        LoadReport report =
                decode("\"state\":\"failed\",\"load\":{\"x0\":2,\"eps\":0.5}")
                        .orElseThrow()
                        .loadReport();
        assertEquals(2, report.freeSlots());
        assertEquals(0.5, report.errorsPerSecond());
        assertTrue(Double.isNaN(report.freeMemory()));
    }

    @Test
    void readsTheLoadReportAndTheMarkerOfAHead() {
        ResponseHead head =
                ResponseHead.of(
                        503,
                        Map.of(
                                "x-backend-load", "TEXT x0=1, inflight=7, x1=many, util=0.61",
                                "x-unprocessed", "1"));
        assertTrue(head.isRejection());
        assertEquals(1, head.loadReport().freeSlots());
        assertEquals(7, head.loadReport().reservedMemory());
        assertTrue(Double.isNaN(head.loadReport().freeMemory()));
        assertFalse(ResponseHead.of(503, Map.of()).isRejection());
        assertFalse(ResponseHead.of(500, Map.of("x-unprocessed", "1")).isRejection());
        assertNull(ResponseHead.of(200, Map.of("x-backend-load", "JSON {}")).loadReport());
    }
}
