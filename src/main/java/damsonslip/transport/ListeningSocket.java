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
 * A listening socket from which connections are accepted. An accept may fail for lack of
 * descriptors, buffers or memory (accept(2)); the connections then stay in the accept queue until
 * an accept succeeds again.
 *
 * <p>{@link #accept} is called by one thread at a time: the selector's, or the loop's once the
 * selector has deregistered the socket.
 */
final class ListeningSocket {
    private static final Logger LOG = LoggerFactory.getLogger(ListeningSocket.class);

    /** Failed accepts are logged once a second at most. */
    private static final long LOG_INTERVAL_US = 1_000_000;

    private final ServerSocketChannel server;
    private final ConnectionManager.ConnectionAcceptor acceptor;
    private final ArrivalBound queueArrival;
    private final AcceptBackoff backoff = new AcceptBackoff();
    private long failures;
    private long lastLoggedUs = Long.MIN_VALUE / 2;

    ListeningSocket(
            ServerSocketChannel server,
            ConnectionManager.ConnectionAcceptor acceptor,
            ArrivalBound queueArrival) {
        this.server = server;
        this.acceptor = acceptor;
        this.queueArrival = queueArrival;
    }

    ServerSocketChannel server() {
        return server;
    }

    /** Returns the acceptor, which decides whether a connection is admitted. */
    ConnectionManager.ConnectionAcceptor acceptor() {
        return acceptor;
    }

    /** Returns the earliest possible arrival of the connections in the accept queue. */
    ArrivalBound queueArrival() {
        return queueArrival;
    }

    /**
     * Returns the next connection, or null if none is queued.
     *
     * @throws AcceptFailedException if the accept fails, with the delay before the next attempt
     */
    SocketChannel accept(long nowUs) throws AcceptFailedException {
        try {
            SocketChannel accepted = server.accept();
            backoff.succeeded();
            if (accepted == null) {
                queueArrival.recordEmpty(nowUs);
            }
            return accepted;
        } catch (IOException e) {
            failures++;
            long delayUs = backoff.failed();
            logFailure(nowUs, delayUs, e);
            throw new AcceptFailedException(delayUs, e);
        }
    }

    private void logFailure(long nowUs, long delayUs, IOException cause) {
        if (nowUs >= lastLoggedUs + LOG_INTERVAL_US) {
            lastLoggedUs = nowUs;
            LOG.warn(
                    "event=accept_failed listener={} failures={} rest_us={} error=\"{}\"",
                    server,
                    failures,
                    delayUs,
                    cause.getMessage());
        }
    }

    /** Whether the selector watches the socket; called on the selector's thread. */
    boolean isWatched(Selector selector) {
        SelectionKey key = server.keyFor(selector);
        try {
            return key != null && key.interestOps() != 0;
        } catch (CancelledKeyException e) { // it is being closed
            return false;
        }
    }

    /** Sets whether the selector watches the socket; called on the selector's thread. */
    void setWatched(Selector selector, boolean watched) {
        SelectionKey key = server.keyFor(selector);
        try {
            if (key != null) {
                key.interestOps(watched ? SelectionKey.OP_ACCEPT : 0);
                queueArrival.setWatched(watched);
            }
        } catch (CancelledKeyException e) {
            // the selector has deregistered the socket: it is being closed
        }
    }

    /** An accept failed. */
    static final class AcceptFailedException extends IOException {
        private static final long serialVersionUID = 1L;
        private final long retryDelayUs;

        AcceptFailedException(long retryDelayUs, IOException cause) {
            super(cause);
            this.retryDelayUs = retryDelayUs;
        }

        /** Returns the delay before the next attempt, in microseconds. */
        long retryDelayUs() {
            return retryDelayUs;
        }
    }
}
