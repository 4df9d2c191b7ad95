package damsonslip.transport;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A listening socket and what became of its accepts. An accept may fail because the system is out
 * of descriptors, buffers or memory (accept(2)); who waits in the queue is not lost then, and is
 * taken in once an accept goes well again.
 *
 * <p>{@link #accept} is called by one thread at a time: the selector's, and the loop once the
 * selector has let go.
 */
final class ListeningSocket {
    private static final Logger LOG = LoggerFactory.getLogger(ListeningSocket.class);

    /** A line each second at the most, however many accepts fail. */
    private static final long LOG_EVERY_US = 1_000_000;

    private final ServerSocketChannel server;
    private final ConnectionManager.ConnectionAcceptor taker;
    private final ArrivalBound queue;
    private final AcceptBackOff backOff = new AcceptBackOff();
    private volatile long failures;
    private long loggedUs = Long.MIN_VALUE / 2;

    ListeningSocket(
            ServerSocketChannel server,
            ConnectionManager.ConnectionAcceptor taker,
            ArrivalBound queue) {
        this.server = server;
        this.taker = taker;
        this.queue = queue;
    }

    ServerSocketChannel server() {
        return server;
    }

    /** Who is told of its connections. */
    ConnectionManager.ConnectionAcceptor taker() {
        return taker;
    }

    /** When those who wait in its queue have come at the earliest. */
    ArrivalBound queue() {
        return queue;
    }

    /**
     * Takes the next connection, or null where nobody waits.
     *
     * @throws AcceptFailedException if the system refuses, with the time to rest before the next
     *     try
     */
    SocketChannel accept(long nowUs) throws AcceptFailedException {
        try {
            SocketChannel accepted = server.accept();
            backOff.succeeded();
            if (accepted == null) {
                queue.seenEmpty(nowUs);
            }
            return accepted;
        } catch (IOException e) {
            failures++;
            long restUs = backOff.failed();
            log(nowUs, restUs, e);
            throw new AcceptFailedException(restUs, e);
        }
    }

    private void log(long nowUs, long restUs, IOException cause) {
        if (nowUs >= loggedUs + LOG_EVERY_US) {
            loggedUs = nowUs;
            LOG.warn(
                    "event=accept_failed listener={} failures={} rest_us={} error=\"{}\"",
                    server,
                    failures,
                    restUs,
                    cause.getMessage());
        }
    }

    /** Whether the selector is to watch it; called on the selector's thread. */
    boolean isWatched(Selector selector) {
        SelectionKey key = server.keyFor(selector);
        try {
            return key != null && key.interestOps() != 0;
        } catch (CancelledKeyException e) { // it is being shut
            return false;
        }
    }

    /** Has the selector watch it, or not; called on the selector's thread. */
    void watch(Selector selector, boolean so) {
        SelectionKey key = server.keyFor(selector);
        try {
            if (key != null) {
                key.interestOps(so ? SelectionKey.OP_ACCEPT : 0);
                queue.watched(so);
            }
        } catch (CancelledKeyException e) {
            // the selector has let go of it: it is being shut
        }
    }

    /** The system refused to hand over a connection. */
    static final class AcceptFailedException extends IOException {
        private static final long serialVersionUID = 1L;
        private final long restUs;

        AcceptFailedException(long restUs, IOException cause) {
            super(cause);
            this.restUs = restUs;
        }

        /** How long to rest before the next try. */
        long restUs() {
            return restUs;
        }
    }
}
