package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.eclipse.jetty.io.ManagedSelector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The listening sockets of one selector. Binds them, accepts connections from them, and suspends a
 * socket for a while after a failed accept, or while the number of its connections is at the limit.
 */
final class Listeners {
    private static final Logger LOG = LoggerFactory.getLogger(Listeners.class);

    /** Capacity of the accept queue of each socket. */
    private static final int BACKLOG = 512;

    /** Suspension of a listener whose connections are at the limit: some turns of the loop. */
    private static final long LIMIT_DELAY_US = 2_000;

    private final Map<SelectableChannel, ListeningSocket> sockets = new ConcurrentHashMap<>();
    private final EventLoop loop;
    private final Supplier<ManagedSelector> selector;
    private final AcceptHandler acceptHandler;

    /** Sets up a connection that was accepted, or closes it. */
    interface AcceptHandler {
        void accepted(SocketChannel connection, ListeningSocket listener) throws IOException;
    }

    /**
     * @param selector returns the selector; called only after it has started
     */
    Listeners(EventLoop loop, Supplier<ManagedSelector> selector, AcceptHandler acceptHandler) {
        this.loop = loop;
        this.selector = selector;
        this.acceptHandler = acceptHandler;
    }

    /**
     * Binds a socket to an address and listens; accepting is up to the selector.
     *
     * @param shared whether other processes may listen at the same address (SO_REUSEPORT)
     * @param queueArrival the earliest possible arrival of the connections in the accept queue
     */
    ListeningSocket bind(
            InetSocketAddress address,
            ConnectionManager.ConnectionAcceptor acceptor,
            boolean shared,
            ArrivalBound queueArrival)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                enablePortSharing(server);
            }
            server.bind(address, BACKLOG);
            server.configureBlocking(false);
        } catch (IOException | RuntimeException e) {
            server.close();
            throw e;
        }
        ListeningSocket listener = new ListeningSocket(server, acceptor, queueArrival);
        sockets.put(server, listener);
        return listener;
    }

    /**
     * Lets other processes listen at the same address. The JDK checks support for that once, when
     * its class loads, and takes it as missing if it cannot open a socket for the check. This
     * process serves nevertheless, but a new version cannot be started beside it for an upgrade.
     */
    private static void enablePortSharing(ServerSocketChannel server) throws IOException {
        if (server.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        } else {
            LOG.warn(
                    "event=port_not_shared reason=\"no socket for the JDK's check of"
                            + " SO_REUSEPORT\"");
        }
    }

    /** Closes a listening socket; connections in its accept queue are reset. */
    void close(ListeningSocket listener) throws IOException {
        listener.server().close();
        sockets.remove(listener.server());
    }

    /** Returns the socket that listens at this address, or null. */
    ListeningSocket findByAddress(SocketAddress address) throws IOException {
        for (ListeningSocket listener : sockets.values()) {
            if (address.equals(listener.server().getLocalAddress())) {
                return listener;
            }
        }
        return null;
    }

    /**
     * Returns the next connection, or null if none is queued or the accept fails; called on the
     * selector's thread.
     */
    SocketChannel acceptNext(SelectableChannel server) {
        ListeningSocket listener = sockets.get(server);
        if (listener == null) { // it is being closed
            return null;
        }
        listener.queueArrival().reported();
        if (!listener.acceptor().hasCapacity()) {
            suspend(listener, LIMIT_DELAY_US);
            return null;
        }
        try {
            return listener.accept(loop.nowUs());
        } catch (ListeningSocket.AcceptFailedException e) {
            suspend(listener, e.retryDelayUs());
            return null;
        }
    }

    /** Accepts all queued connections, up to the limit; returns whether there were any. */
    boolean acceptAll(ListeningSocket listener) throws IOException {
        boolean any = false;
        SocketChannel next = acceptIfBelowLimit(listener);
        while (next != null) {
            any = true;
            acceptHandler.accepted(next, listener);
            next = acceptIfBelowLimit(listener);
        }
        return any;
    }

    private SocketChannel acceptIfBelowLimit(ListeningSocket listener)
            throws ListeningSocket.AcceptFailedException {
        return listener.acceptor().hasCapacity() ? listener.accept(loop.nowUs()) : null;
    }

    /**
     * Accepts connections that the selector has not reported; called on the selector's thread, the
     * only one that accepts.
     */
    void acceptUnreported(Selector current) {
        for (ListeningSocket listener : sockets.values()) {
            if (listener.isWatched(current) && acceptUnreported(listener)) {
                listener.setWatched(current, false);
                selector.get().submit(nextRound -> listener.setWatched(nextRound, true));
            }
        }
    }

    private boolean acceptUnreported(ListeningSocket listener) {
        try {
            return acceptAll(listener);
        } catch (ListeningSocket.AcceptFailedException e) {
            suspend(listener, e.retryDelayUs());
            return false;
        } catch (IOException | RuntimeException e) {
            LOG.warn("event=connection_not_set_up error=\"{}\"", e.getMessage());
            return true;
        }
    }

    /** Stops watching the listener for a while; the selector would report it in every round. */
    private void suspend(ListeningSocket listener, long delayUs) {
        ManagedSelector managed = selector.get();
        listener.setWatched(managed.getSelector(), false);
        loop.scheduleAfter(
                delayUs, () -> managed.submit(current -> listener.setWatched(current, true)));
    }
}
