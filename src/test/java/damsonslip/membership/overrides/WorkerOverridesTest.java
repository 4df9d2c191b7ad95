package damsonslip.membership.overrides;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.ListMode;
import damsonslip.policy.api.Status;
import damsonslip.policy.api.Worker;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Disabled and enabled workers, laid over the lists of discovery. */
class WorkerOverridesTest {
    private static final long MINUTE = 60_000_000;

    private final WorkerOverrides overrides = new WorkerOverrides();
    private long now;

    private static Worker worker(String id, Status status, long startedUs) {
        return new Worker(id, 0, 0, 0, status, startedUs);
    }

    private static Worker running(String id) {
        return worker(id, Status.RUNNING, 5);
    }

    private List<Worker> listed(ListMode mode, Worker... workers) {
        return overrides.apply(mode, List.of(workers), now);
    }

    @Test
    void aBannedWorkerDrainsWhateverTheListSaysOfIt() {
        listed(ListMode.KEPT, running("a"), running("b"));
        assertEquals(List.of(worker("a", Status.DRAINING, 5)), overrides.disable("a"));
        assertEquals(List.of(), overrides.disable("a"), "a second time changes nothing");
        assertEquals(
                List.of(worker("a", Status.DRAINING, 9), running("b")),
                listed(ListMode.COMPLETE, worker("a", Status.RUNNING, 9), running("b")),
                "a new start does not lift it");
        assertEquals(
                List.of(worker("a", Status.GONE, 9)),
                listed(ListMode.CHANGES, worker("a", Status.GONE, 9)));
        assertEquals(Set.of("b"), overrides.listedWorkers());
        assertEquals(
                List.of(worker("a", Status.DRAINING, 20)),
                listed(ListMode.CHANGES, worker("a", Status.RUNNING, 20)));
        assertTrue(overrides.isDisabled("a"));
        assertEquals(Set.of("a", "b"), overrides.listedWorkers());
    }

    @Test
    void oneCallBackLiftsItAndTheWorkerIsCold() {
        listed(ListMode.KEPT, running("a"));
        overrides.disable("a");
        overrides.disable("a");
        assertEquals(List.of(worker("a", Status.RUNNING, 100)), overrides.enable("a", 100));
        assertEquals(
                List.of(),
                overrides.enable("a", 200),
                "it is in use already, and no colder for it");
        assertEquals(
                List.of(worker("a", Status.RUNNING, 100)),
                listed(ListMode.CHANGES, running("a")),
                "a late list does not warm it");
        assertEquals(
                List.of(worker("a", Status.RUNNING, 300)),
                listed(ListMode.CHANGES, worker("a", Status.RUNNING, 300)));
    }

    @Test
    void idsThatNobodyHasAreUnknownAndOnesThatLeftAreNot() {
        assertFalse(overrides.isKnown("a"));
        listed(ListMode.KEPT, running("a"));
        listed(ListMode.COMPLETE);
        assertTrue(overrides.isKnown("a"));
        assertEquals(Set.of(), overrides.listedWorkers());
        assertEquals(List.of(worker("a", Status.GONE, 5)), overrides.disable("a"));
    }

    /**
     * A fleet whose workers are replaced every day would fill the memory with those of long ago.
     */
    @Test
    void aWorkerThatIsLongGoneIsForgottenUnlessItIsDisabled() {
        listed(ListMode.COMPLETE, running("a"), running("b"), running("c"));
        overrides.disable("b");
        listed(ListMode.COMPLETE, running("c"));
        now += 9 * MINUTE;
        listed(ListMode.CHANGES);
        assertTrue(overrides.isKnown("a"), "it may come back");
        now += 2 * MINUTE;
        listed(ListMode.CHANGES);
        assertFalse(overrides.isKnown("a"));
        assertTrue(overrides.isKnown("b"), "its operator has yet to enable it");
        assertTrue(overrides.isKnown("c"));
        assertEquals(
                List.of(worker("b", Status.DRAINING, 5)), listed(ListMode.CHANGES, running("b")));
    }

    @Test
    void anotherProcessTakesThemOverWithTheReturns() throws WorkerOverrides.MalformedException {
        listed(ListMode.KEPT, running("a"), running("b"), running("c"));
        overrides.disable("a");
        overrides.disable("b");
        overrides.enable("b", 100);
        WorkerOverrides next = new WorkerOverrides();
        assertEquals(
                List.of(),
                next.restore(overrides.serialize(200)),
                "before any list there is nothing to tell");
        assertEquals(
                List.of(
                        worker("a", Status.DRAINING, 5),
                        worker("b", Status.RUNNING, 100),
                        running("c")),
                next.apply(ListMode.KEPT, List.of(running("a"), running("b"), running("c")), now));
        overrides.enable("a", 150);
        overrides.disable("c");
        assertEquals(
                List.of(worker("a", Status.RUNNING, 150), worker("c", Status.DRAINING, 5)),
                next.restore(overrides.serialize(200)));
        assertEquals(
                List.of(), next.restore(overrides.serialize(200)), "the same again is no news");
        assertFalse(
                overrides.serialize(1_000_000_000).contains("back"),
                "what is warm long since is dropped");
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
    void aSpoiltTextChangesNothing(String text) {
        listed(ListMode.KEPT, running("a"), running("b"));
        overrides.disable("b");
        assertThrows(WorkerOverrides.MalformedException.class, () -> overrides.restore(text));
        assertTrue(overrides.isDisabled("b"));
        assertFalse(overrides.isDisabled("a"));
    }
}
