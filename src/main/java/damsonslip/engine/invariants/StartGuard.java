package damsonslip.engine.invariants;

import java.util.Optional;

/** Checks the moment in which a process begins to serve. */
public final class StartGuard {
    /**
     * What it has by then.
     *
     * @param listBegun whether the module has a list of workers to begin from
     * @param overridesKnown whether the operators' overrides were read, or cannot be
     */
    public record Facts(boolean listBegun, boolean overridesKnown) {}

    private StartGuard() {}

    /** Gives the rule that serving from now on would break. */
    public static Optional<Violation> check(Facts facts) {
        return facts.listBegun() && facts.overridesKnown()
                ? Optional.empty()
                : Optional.of(
                        new Violation(
                                Invariant.NO_SERVICE_BEFORE_THE_LIST, "", "", facts.toString()));
    }
}
