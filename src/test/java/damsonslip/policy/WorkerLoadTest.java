package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.LoadReport;
import org.junit.jupiter.api.Test;

/** Separates this scheduler's slots in use from those of the other schedulers. */
class WorkerLoadTest {
    private final WorkerLoad load = new WorkerLoad();

    private void report(double freeSlots, double freeMemory, boolean probed, long nowUs) {
        LoadReport report = new LoadReport(freeSlots, freeMemory, Double.NaN);
        load.acceptReport(report, 4, probed, 0, nowUs);
    }

    @Test
    void attributesTheRestOfAProbedReportToOtherSchedulers() {
        load.changeOwnSlots(1, SECOND);
        report(1, Double.NaN, true, SECOND);
        assertEquals(2, load.othersSlots());
    }

    @Test
    void doesNotAttributeEndedOwnJobsInALateReportToOtherSchedulers() {
        load.changeOwnSlots(4, SECOND);
        load.changeOwnSlots(-4, 11 * SECOND);
        report(0, Double.NaN, false, 11 * SECOND);
        assertEquals(0, load.othersSlots(), 0.01);
    }

    @Test
    void countsReservedMemoryAsUnavailable() {
        report(4, 10, true, SECOND);
        load.reserveMemory(7);
        assertFalse(load.lacksMemory(3));
        assertTrue(load.lacksMemory(4));
        load.releaseMemory(7);
        assertFalse(load.lacksMemory(10));
    }

    @Test
    void ignoresMemoryThatIsNotReported() {
        assertFalse(load.lacksMemory(1e9));
    }

    @Test
    void countsAllSlotsAsUsedWhenFull() {
        load.changeOwnSlots(1, SECOND);
        load.recordFull(4, SECOND);
        assertEquals(3, load.othersSlots());
        assertTrue(load.hasReport());
        load.forgetReport();
        assertFalse(load.hasReport());
    }
}
