package damsonslip.engine.invariants;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts violations of invariants and decides whether the action may proceed. In production the
 * violation is reported and the action proceeds, since a guard may be wrong; in tests the action is
 * refused, so that the fault shows.
 *
 * <p>Not thread-safe.
 */
public final class InvariantMonitor {
    /** What happens to an action that violates an invariant. */
    public enum Mode {
        /** The violation is reported and the action proceeds. */
        REPORT,
        /** The violation is reported and the action does not proceed. */
        REFUSE
    }

    /** Receives each violation. */
    @FunctionalInterface
    public interface Reporter {
        /** Reports a violation; called before the decision on the action is returned. */
        void report(Violation violation);
    }

    private final Mode mode;
    private final Reporter reporter;
    private final Map<Invariant, Long> counts = new EnumMap<>(Invariant.class);

    /** Creates a monitor with all counts at zero. */
    public InvariantMonitor(Mode mode, Reporter reporter) {
        this.mode = mode;
        this.reporter = reporter;
    }

    /** Records the result of a guard; returns whether the action may proceed. */
    public boolean permits(Optional<Violation> result) {
        if (result.isEmpty()) {
            return true;
        }
        Violation violation = result.get();
        counts.merge(violation.invariant(), 1L, Long::sum);
        reporter.report(violation);
        return mode == Mode.REPORT;
    }

    /** Returns how many actions violated, or would have violated, an invariant. */
    public long count(Invariant invariant) {
        return counts.getOrDefault(invariant, 0L);
    }

    /** Returns the number of violations of all invariants. */
    public long total() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
