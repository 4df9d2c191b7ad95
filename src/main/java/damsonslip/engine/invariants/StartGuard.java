package damsonslip.engine.invariants;

import java.util.Optional;

/** Checks that a process that starts to serve has loaded its state. */
public final class StartGuard {
    /**
     * What the process has loaded.
     *
     * @param workerListLoaded whether the policy has a worker list
     * @param overridesKnown whether the operators' overrides were read, or cannot be read
     */
    public record Facts(boolean workerListLoaded, boolean overridesKnown) {}

    private StartGuard() {}

    /** Returns the invariant that serving requests now would violate. */
    public static Optional<Violation> check(Facts facts) {
        if (facts.workerListLoaded() && facts.overridesKnown()) {
            return Optional.empty();
        }
        return Optional.of(
                new Violation(Invariant.NO_SERVICE_BEFORE_THE_LIST, "", "", facts.toString()));
    }
}
