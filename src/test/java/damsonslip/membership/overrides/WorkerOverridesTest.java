package damsonslip.membership.overrides;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Overrides that disable or enable workers, applied to the lists from discovery. */
class WorkerOverridesTest {
    private static final long MINUTE = 60_000_000;

    private final WorkerOverrides overrides = new WorkerOverrides();
    private long now;

    private static WorkerEntry worker(String id, WorkerStatus status, long startedUs) {
        return new WorkerEntry(id, 0, 0, 0, status, startedUs);
    }

    private static WorkerEntry running(String id) {
        return worker(id, WorkerStatus.RUNNING, 5);
    }

    private List<WorkerEntry> listed(WorkerListChange change, WorkerEntry... workers) {
        return overrides.apply(change, List.of(workers), now);
    }

    @Test
    void listsDisabledWorkerAsDrainingWhateverDiscoverySays() {
        listed(WorkerListChange.CACHED, running("a"), running("b"));
        assertEquals(List.of(worker("a", WorkerStatus.DRAINING, 5)), overrides.disable("a"));
        assertEquals(List.of(), overrides.disable("a"), "it is already disabled");
        assertEquals(
                List.of(worker("a", WorkerStatus.DRAINING, 9), running("b")),
                listed(
                        WorkerListChange.COMPLETE,
                        worker("a", WorkerStatus.RUNNING, 9),
                        running("b")),
                "a restart does not enable it");
        assertEquals(
                List.of(worker("a", WorkerStatus.REMOVED, 9)),
                listed(WorkerListChange.CHANGES, worker("a", WorkerStatus.REMOVED, 9)));
        assertEquals(Set.of("b"), overrides.listedWorkers());
        assertEquals(
                List.of(worker("a", WorkerStatus.DRAINING, 20)),
                listed(WorkerListChange.CHANGES, worker("a", WorkerStatus.RUNNING, 20)));
        assertTrue(overrides.isDisabled("a"));
        assertEquals(Set.of("a", "b"), overrides.listedWorkers());
    }

    @Test
    void listsEnabledWorkerAsJustStarted() {
        listed(WorkerListChange.CACHED, running("a"));
        overrides.disable("a");
        overrides.disable("a");
        assertEquals(List.of(worker("a", WorkerStatus.RUNNING, 100)), overrides.enable("a", 100));
        assertEquals(
                List.of(),
                overrides.enable("a", 200),
                "it is already enabled, and its start is unchanged");
        assertEquals(
                List.of(worker("a", WorkerStatus.RUNNING, 100)),
                listed(WorkerListChange.CHANGES, running("a")),
                "a delayed list does not change its start");
        assertEquals(
                List.of(worker("a", WorkerStatus.RUNNING, 300)),
                listed(WorkerListChange.CHANGES, worker("a", WorkerStatus.RUNNING, 300)));
    }

    @Test
    void knowsRemovedWorkersButNotUnlistedIds() {
        assertFalse(overrides.isKnown("a"));
        listed(WorkerListChange.CACHED, running("a"));
        listed(WorkerListChange.COMPLETE);
        assertTrue(overrides.isKnown("a"));
        assertEquals(Set.of(), overrides.listedWorkers());
        assertEquals(List.of(worker("a", WorkerStatus.REMOVED, 5)), overrides.disable("a"));
    }

    /** Guards against unbounded memory use where workers are replaced regularly. */
    @Test
    void forgetsWorkerRemovedLongAgoUnlessDisabled() {
        listed(WorkerListChange.COMPLETE, running("a"), running("b"), running("c"));
        overrides.disable("b");
        listed(WorkerListChange.COMPLETE, running("c"));
        now += 9 * MINUTE;
        listed(WorkerListChange.CHANGES);
        assertTrue(overrides.isKnown("a"), "it may be listed again");
        now += 2 * MINUTE;
        listed(WorkerListChange.CHANGES);
        assertFalse(overrides.isKnown("a"));
        assertTrue(overrides.isKnown("b"), "it is still disabled");
        assertTrue(overrides.isKnown("c"));
        assertEquals(
                List.of(worker("b", WorkerStatus.DRAINING, 5)),
                listed(WorkerListChange.CHANGES, running("b")));
    }

    @Test
    void restoresOverridesInAnotherProcess() throws WorkerOverrides.MalformedException {
        listed(WorkerListChange.CACHED, running("a"), running("b"), running("c"));
        overrides.disable("a");
        overrides.disable("b");
        overrides.enable("b", 100);
        WorkerOverrides next = new WorkerOverrides();
        assertEquals(List.of(), next.restore(overrides.serialize(200)), "nothing is listed yet");
        assertEquals(
                List.of(
                        worker("a", WorkerStatus.DRAINING, 5),
                        worker("b", WorkerStatus.RUNNING, 100),
                        running("c")),
                next.apply(
                        WorkerListChange.CACHED,
                        List.of(running("a"), running("b"), running("c")),
                        now));
        overrides.enable("a", 150);
        overrides.disable("c");
        assertEquals(
                List.of(
                        worker("a", WorkerStatus.RUNNING, 150),
                        worker("c", WorkerStatus.DRAINING, 5)),
                next.restore(overrides.serialize(200)));
        assertEquals(List.of(), next.restore(overrides.serialize(200)), "nothing has changed");
        assertFalse(overrides.serialize(1_000_000_000).contains("back"), "past its retention");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "damsonslip bans 0\nend\n",
                "damsonslip bans 1\nout a\n",
                "damsonslip bans 1\nout\nend\n",
                "damsonslip bans 1\nback a soon\nend\n",
                "damsonslip bans 1\nout a b\nend\n"
            })
    void rejectsMalformedTextWithoutChange(String text) {
        listed(WorkerListChange.CACHED, running("a"), running("b"));
        overrides.disable("b");
        assertThrows(WorkerOverrides.MalformedException.class, () -> overrides.restore(text));
        assertTrue(overrides.isDisabled("b"));
        assertFalse(overrides.isDisabled("a"));
    }
}
