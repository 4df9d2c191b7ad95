package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.invariants.RetryGuard.WorkerLocation;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WorkerListTest {
    private final EventLoop loop = new EventLoop();
    private final List<Event> events = new ArrayList<>();
    private final WorkerList list = newList();

    private WorkerList newList() {
        RequestTrace trace = new RequestTrace(new EventLog(), loop);
        return new WorkerList(loop, new Counters(), trace, events::add);
    }

    private WorkerListUpdate lastUpdate() {
        return (WorkerListUpdate) events.get(events.size() - 1);
    }

    @Test
    void publishesADisabledWorkerAsDraining() {
        list.load(List.of(EngineFixtures.warmWorker("a")));
        assertTrue(list.disable("a"));
        assertEquals(WorkerListChange.OVERRIDES, lastUpdate().change());
        assertEquals(WorkerStatus.DRAINING, lastUpdate().workers().get(0).status());
        assertFalse(list.disable("unknown"));
        assertEquals(2, events.size());
    }

    @Test
    void appliesOverridesThatAreKnownBeforeTheList() throws Exception {
        WorkerList other = newList();
        other.load(List.of(EngineFixtures.warmWorker("a")));
        other.disable("a");
        events.clear();
        list.restoreOverrides(other.overridesText());
        assertEquals(List.of(), events);
        assertFalse(list.isLoaded());
        list.load(List.of(EngineFixtures.warmWorker("a")));
        assertEquals(WorkerStatus.DRAINING, lastUpdate().workers().get(0).status());
    }

    @Test
    void locatesListedWorkers() {
        list.update(
                WorkerListChange.COMPLETE,
                List.of(new WorkerEntry("a", 2, 3, 0, WorkerStatus.RUNNING, 0)));
        assertEquals(new WorkerLocation("a", 2, 3), list.locate("a"));
        assertEquals(new WorkerLocation("b", 0, 0), list.locate("b"));
        assertEquals(Set.of("a"), list.listedWorkers());
    }
}
