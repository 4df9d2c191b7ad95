package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.DiscoveryAddressState;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The words that operators and the fleet report know, whatever the constants are called. */
class RequestTraceTest {
    private final EventLog log = new EventLog();
    private final RequestTrace trace = new RequestTrace(log, new EventLoop());

    private void assertNewest(String expected) {
        String newest = log.newest(1, "").get(0);
        assertTrue(newest.endsWith(expected), newest);
    }

    @Test
    void recordsAWorkerRemovedFromTheList() {
        WorkerEntry removed = new WorkerEntry("a", 0, 0, 0, WorkerStatus.REMOVED, 0);
        trace.workerListChanged(WorkerListChange.CHANGES, List.of(removed));
        assertNewest(" drain_told id=a detail=GONE figure=0");
    }

    @Test
    void recordsTheCachedListAndFailures() {
        trace.workerListChanged(WorkerListChange.CACHED, List.of());
        assertNewest(" listed id= detail=KEPT figure=0");
        trace.workerListChanged(WorkerListChange.NOT_CALLED, List.of());
        assertNewest(" list_lost id= detail=NOT_CALLED figure=0");
    }

    @Test
    void recordsTheStateOfDiscoverysAddress() {
        trace.discoveryAddressChanged(DiscoveryAddressState.CONFIRMED);
        assertNewest(" listed id= detail=address heard figure=0");
    }

    @Test
    void keepsTheNameOfTheTraceLogger() {
        assertEquals("damsonslip.core.Trace", RequestTrace.LOGGER_NAME);
    }
}
