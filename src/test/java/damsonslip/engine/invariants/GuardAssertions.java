package damsonslip.engine.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;

/** Assertions on the results of guards. */
final class GuardAssertions {
    private GuardAssertions() {}

    static void assertViolates(Invariant expected, Optional<Violation> result) {
        assertEquals(Optional.of(expected), result.map(Violation::invariant));
    }
}
