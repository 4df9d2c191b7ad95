package damsonslip.engine.invariants;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Counts violations and tells what is to be done about one: in production the action goes on and is
 * reported, since a guard may be wrong; in tests it is refused, so that the fault shows. Not safe
 * for use by several threads.
 */
public final class InvariantMonitor {
    /** What becomes of an action that breaks a rule. */
    public enum Mode {
        REPORT,
        REFUSE
    }

    /** Is told of each violation. */
    public interface Reporter {
        void violated(Violation violation);
    }

    private final Mode mode;
    private final Reporter reporter;
    private final Map<Invariant, Long> counts = new EnumMap<>(Invariant.class);

    public InvariantMonitor(Mode mode, Reporter reporter) {
        this.mode = mode;
        this.reporter = reporter;
    }

    /** Takes a guard's word in; tells whether the action may go on. */
    public boolean permits(Optional<Violation> found) {
        if (found.isEmpty()) {
            return true;
        }
        counts.merge(found.get().invariant(), 1L, Long::sum);
        reporter.violated(found.get());
        return mode == Mode.REPORT;
    }

    /** How often a rule was broken, or would have been. */
    public long count(Invariant invariant) {
        return counts.getOrDefault(invariant, 0L);
    }

    /** All violations. */
    public long total() {
        return counts.values().stream().mapToLong(Long::longValue).sum();
    }
}
