package damsonslip.bans;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.Dispatch.ListMode;
import damsonslip.Dispatch.Status;
import damsonslip.Dispatch.Worker;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BansTest {
    private final Bans bans = new Bans();

    private static Worker worker(String id, Status status, long startedUs) {
        return new Worker(id, 0, 0, 0, status, startedUs);
    }

    private static Worker running(String id) {
        return worker(id, Status.RUNNING, 5);
    }

    private List<Worker> listed(ListMode mode, Worker... workers) {
        return bans.listed(mode, List.of(workers));
    }

    @Test
    void aBannedWorkerDrainsWhateverTheListSaysOfIt() {
        listed(ListMode.KEPT, running("a"), running("b"));
        assertEquals(List.of(worker("a", Status.DRAINING, 5)), bans.ban("a"));
        assertEquals(List.of(), bans.ban("a"), "a second time changes nothing");
        assertEquals(List.of(worker("a", Status.DRAINING, 9), running("b")),
            listed(ListMode.COMPLETE, worker("a", Status.RUNNING, 9), running("b")), "a new start does not lift it");
        assertEquals(List.of(worker("a", Status.GONE, 9)), listed(ListMode.CHANGES, worker("a", Status.GONE, 9)));
        assertEquals(Set.of("b"), bans.targets());
        assertEquals(List.of(worker("a", Status.DRAINING, 20)), listed(ListMode.CHANGES, worker("a", Status.RUNNING, 20)));
        assertTrue(bans.bars("a"));
        assertEquals(Set.of("a", "b"), bans.targets());
    }

    @Test
    void oneCallBackLiftsItAndTheWorkerIsCold() {
        listed(ListMode.KEPT, running("a"));
        bans.ban("a");
        bans.ban("a");
        assertEquals(List.of(worker("a", Status.RUNNING, 100)), bans.lift("a", 100));
        assertEquals(List.of(), bans.lift("a", 200), "it is in use already, and no colder for it");
        assertEquals(List.of(worker("a", Status.RUNNING, 100)), listed(ListMode.CHANGES, running("a")),
            "a late list does not warm it");
        assertEquals(List.of(worker("a", Status.RUNNING, 300)),
            listed(ListMode.CHANGES, worker("a", Status.RUNNING, 300)));
    }

    @Test
    void idsThatNobodyHasAreUnknownAndOnesThatLeftAreNot() {
        assertFalse(bans.knows("a"));
        listed(ListMode.KEPT, running("a"));
        listed(ListMode.COMPLETE);
        assertTrue(bans.knows("a"));
        assertEquals(Set.of(), bans.targets());
        assertEquals(List.of(worker("a", Status.GONE, 5)), bans.ban("a"));
    }

    @Test
    void anotherProcessTakesThemOverWithTheReturns() throws Bans.Unreadable {
        listed(ListMode.KEPT, running("a"), running("b"), running("c"));
        bans.ban("a");
        bans.ban("b");
        bans.lift("b", 100);
        Bans next = new Bans();
        assertEquals(List.of(), next.replace(bans.text(200)), "before any list there is nothing to tell");
        assertEquals(List.of(worker("a", Status.DRAINING, 5), worker("b", Status.RUNNING, 100), running("c")),
            next.listed(ListMode.KEPT, List.of(running("a"), running("b"), running("c"))));
        bans.lift("a", 150);
        bans.ban("c");
        assertEquals(List.of(worker("a", Status.RUNNING, 150), worker("c", Status.DRAINING, 5)),
            next.replace(bans.text(200)));
        assertEquals(List.of(), next.replace(bans.text(200)), "the same again is no news");
        assertFalse(bans.text(1_000_000_000).contains("back"), "what is warm long since is dropped");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "damsonslip bans 0\nend\n", "damsonslip bans 1\nout a\n", "damsonslip bans 1\nout\nend\n",
        "damsonslip bans 1\nback a soon\nend\n", "damsonslip bans 1\nout a b\nend\n"})
    void aSpoiltTextChangesNothing(String text) {
        listed(ListMode.KEPT, running("a"), running("b"));
        bans.ban("b");
        assertThrows(Bans.Unreadable.class, () -> bans.replace(text));
        assertTrue(bans.bars("b"));
        assertFalse(bans.bars("a"));
    }
}
