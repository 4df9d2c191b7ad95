package damsonslip.faktory;

import damsonslip.engine.EventLoop;
import java.util.List;

/** A FETCH that waits for a job. Confined to the event loop. */
final class PendingFetch {
    private final FaktoryConnection connection;
    private final List<String> queues;
    private final long sinceUs;
    private EventLoop.Timer timeout = () -> {};

    /**
     * Creates a waiting FETCH without a timeout.
     *
     * @param queues the queues that it fetches from, in its own order
     * @param sinceUs when it began to wait, in the loop's microseconds
     */
    PendingFetch(FaktoryConnection connection, List<String> queues, long sinceUs) {
        this.connection = connection;
        this.queues = queues;
        this.sinceUs = sinceUs;
    }

    FaktoryConnection connection() {
        return connection;
    }

    List<String> queues() {
        return queues;
    }

    long sinceUs() {
        return sinceUs;
    }

    /** Sets the timer that ends it. */
    void setTimeout(EventLoop.Timer timer) {
        timeout = timer;
    }

    void cancelTimeout() {
        timeout.cancel();
    }

    /** Whether a job of this queue can be handed out to it. */
    boolean accepts(String queue) {
        return queues.contains(queue) && !connection.isClosed();
    }
}
