package damsonslip.faktory;

import java.util.Collection;
import java.util.List;

/**
 * Tells which workers are connected and which queues they fetch from. The view of the workers that
 * the job side depends on.
 */
interface FetchDirectory {
    /**
     * A FETCH that is waiting for a job.
     *
     * @param queues the queues that it fetches from, in the order in which it names them
     * @param sinceUs when it began to wait, in microseconds of the event loop
     */
    record WaitingFetch(List<String> queues, long sinceUs) {}

    /** Whether this worker fetches from a queue, or has recently. */
    boolean fetches(String worker, String queue);

    /** Returns the waiting fetches, one for each distinct list of queues. */
    Collection<WaitingFetch> waitingFetches();

    /** Whether a FETCH from exactly these queues is still waiting. */
    boolean isFetchWaiting(List<String> queues);

    /** Whether a FETCH whose queues include this one is waiting. */
    boolean isFetchWaiting(String queue);

    /** Whether this worker is registered: connected, or disconnected for a short time only. */
    boolean isPresent(String worker);
}
