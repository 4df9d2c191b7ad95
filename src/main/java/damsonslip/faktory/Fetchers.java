package damsonslip.faktory;

import java.util.Collection;
import java.util.List;

/** What the desk may ask about workers, without knowing their side. */
interface Fetchers {
    /** Whether this worker fetches from a queue. */
    boolean fetches(String worker, String queue);

    /** A FETCH that waits for a job from these queues, in its own order, since then. */
    record Offered(List<String> queues, long sinceUs) { }

    /** What is offered now; several that name the same queues stand for one, the longest waiting of a worker. */
    Collection<Offered> offers();

    /** Whether a FETCH from just these queues waits for a job still. */
    boolean offered(List<String> queues);

    /** Whether a FETCH from this queue, among others, waits for a job now. */
    boolean offered(String queue);

    /** Whether this worker is there. */
    boolean present(String worker);
}
