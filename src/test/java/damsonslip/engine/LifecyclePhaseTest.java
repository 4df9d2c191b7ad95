package damsonslip.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.LifecyclePhase.State;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class LifecyclePhaseTest {
    private final LifecyclePhase phase = new LifecyclePhase();

    @Test
    void movesForwardOnlyAndNotifiesOnEachMove() {
        AtomicInteger changes = new AtomicInteger();
        phase.onChange(changes::incrementAndGet);
        phase.advanceTo(State.FINISHING);
        phase.advanceTo(State.LEAVING);
        phase.advanceTo(State.FINISHING);
        assertEquals(State.FINISHING, phase.state());
        assertTrue(phase.hasReached(State.LEAVING));
        assertFalse(phase.hasReached(State.ENDED));
        assertEquals(1, changes.get());
    }

    @Test
    void drainsOnlyWhileServingAndCanBeUndone() {
        assertFalse(phase.drain());
        phase.advanceTo(State.SERVING);
        assertTrue(phase.drain());
        assertTrue(phase.drain());
        phase.undrain();
        assertTrue(phase.is(State.SERVING));
        phase.advanceTo(State.LEAVING);
        assertFalse(phase.drain());
        phase.undrain();
        assertTrue(phase.is(State.LEAVING));
    }

    @Test
    void waitsUntilAPhaseIsReached() throws Exception {
        assertFalse(phase.await(State.ENDED, 1));
        phase.advanceTo(State.ENDED);
        assertTrue(phase.await(State.LEAVING, 1));
    }
}
