package damsonslip.faktory;

import java.util.Collection;
import java.util.List;

/**
 * Which workers are connected, and which queues they fetch from. The coordinator's view of the
 * worker side.
 */
interface FetchDirectory {
    /**
     * A FETCH that waits for a job.
     *
     * @param queues the queues that it fetches from, in its own order
     * @param sinceUs when it began to wait, in the loop's microseconds
     */
    record WaitingFetch(List<String> queues, long sinceUs) {}

    /** Whether this worker fetches from a queue, now or lately. */
    boolean fetches(String worker, String queue);

    /** The waiting fetches, one for each distinct list of queues. */
    Collection<WaitingFetch> waitingFetches();

    /** Whether a FETCH from exactly these queues still waits. */
    boolean isFetchWaiting(List<String> queues);

    /** Whether a FETCH from this queue, among others, waits. */
    boolean isFetchWaiting(String queue);

    /** Whether this worker is connected, or was a moment ago. */
    boolean isPresent(String worker);
}
