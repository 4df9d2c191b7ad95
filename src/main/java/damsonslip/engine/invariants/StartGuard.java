package damsonslip.engine.invariants;

import java.util.Optional;

/** Checks the moment at which a process starts to serve. */
public final class StartGuard {
    /**
     * What the process has loaded.
     *
     * @param workerListLoaded whether the decision module has a worker list
     * @param overridesKnown whether the operators' overrides were read, or cannot be read
     */
    public record Facts(boolean workerListLoaded, boolean overridesKnown) {}

    private StartGuard() {}

    /** Returns the invariant that serving from now on would violate. */
    public static Optional<Violation> check(Facts facts) {
        if (facts.workerListLoaded() && facts.overridesKnown()) {
            return Optional.empty();
        }
        return Optional.of(
                new Violation(Invariant.NO_SERVICE_BEFORE_THE_LIST, "", "", facts.toString()));
    }
}
