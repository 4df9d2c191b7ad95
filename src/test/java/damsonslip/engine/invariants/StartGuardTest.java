package damsonslip.engine.invariants;

import static damsonslip.engine.invariants.GuardAssertions.assertViolates;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StartGuardTest {
    @Test
    void permitsServingOnceTheWorkerListIsLoaded() {
        assertTrue(StartGuard.check(new StartGuard.Facts(true, true)).isEmpty());
        assertViolates(
                Invariant.NO_SERVICE_BEFORE_THE_LIST,
                StartGuard.check(new StartGuard.Facts(false, true)));
    }

    @Test
    void permitsServingOnceTheOverridesAreKnown() {
        assertViolates(
                Invariant.NO_SERVICE_BEFORE_THE_LIST,
                StartGuard.check(new StartGuard.Facts(true, false)));
    }
}
