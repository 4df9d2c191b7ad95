package damsonslip.faktory;

import damsonslip.engine.EventLoop;
import damsonslip.faktory.codec.Reply;
import java.util.List;

/** A FETCH that is waiting for a job. Confined to the event loop. */
final class PendingFetch {
    private final FaktoryConnection connection;
    private final List<String> queues;
    private final long sinceUs;
    private EventLoop.Timer timeout = () -> {};

    /**
     * Creates a pending FETCH without a timeout.
     *
     * @param queues the queues that it fetches from, in the order in which it names them
     * @param sinceUs when it began to wait, in microseconds of the event loop
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

    /** Sets the timer that ends the wait. */
    void setTimeout(EventLoop.Timer timer) {
        timeout = timer;
    }

    void cancelTimeout() {
        timeout.cancel();
    }

    /** Replies that there is no job. */
    void replyWithoutJob() {
        cancelTimeout();
        connection.reply(Reply.nullBulk());
    }

    /** Whether a job of this queue can be sent in reply to it. */
    boolean accepts(String queue) {
        return queues.contains(queue) && !connection.isClosed();
    }
}
