package damsonslip.policy.api;

import java.util.List;

/**
 * The list of workers, or changes to it, or the end of a call or a watch; {@code heardUs} tells for
 * a watch that fell silent when it last said something, and for a list that was kept when the
 * process that begins with it was launched.
 */
public record ListUpdate(ListMode mode, List<Worker> workers, long heardUs) implements Event {
    public ListUpdate {
        workers = List.copyOf(workers);
    }

    public ListUpdate(ListMode mode, List<Worker> workers) {
        this(mode, workers, Long.MAX_VALUE);
    }
}
