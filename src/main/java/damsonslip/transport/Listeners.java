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
 * The listening sockets of one selector: binds them, accepts from them, and has the selector leave
 * one alone for a while after an accept that failed.
 */
final class Listeners {
    private static final Logger LOG = LoggerFactory.getLogger(Listeners.class);
    private static final int BACKLOG = 512;

    /**
     * So long until a listener whose connections fill their room is looked at again: some turns of
     * the loop.
     */
    private static final long FULL_REST_US = 2_000;

    private final Map<SelectableChannel, ListeningSocket> sockets = new ConcurrentHashMap<>();
    private final EventLoop loop;
    private final Supplier<ManagedSelector> selector;
    private final Admission admission;

    /** Sets up a connection that was accepted, or closes it. */
    interface Admission {
        void accepted(SocketChannel connection, ListeningSocket listener) throws IOException;
    }

    /**
     * @param selector the selector, once it has been started
     */
    Listeners(EventLoop loop, Supplier<ManagedSelector> selector, Admission admission) {
        this.loop = loop;
        this.selector = selector;
        this.admission = admission;
    }

    /**
     * Begins to listen there; accepting is left to the selector.
     *
     * @param shared whether another process may listen there as well
     * @param queue when those who wait in its queue have come at the earliest
     */
    ListeningSocket bind(
            InetSocketAddress address,
            ConnectionManager.ConnectionAcceptor taker,
            boolean shared,
            ArrivalBound queue)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                share(server);
            }
            server.bind(address, BACKLOG);
            server.configureBlocking(false);
        } catch (IOException | RuntimeException e) {
            server.close();
            throw e;
        }
        ListeningSocket listener = new ListeningSocket(server, taker, queue);
        sockets.put(server, listener);
        return listener;
    }

    /**
     * Lets other processes listen there as well. The JDK asks once, as it loads, whether the system
     * can do that, and takes a socket that it is not given for a no. Serving alone goes before: an
     * upgrade beside this process will not start.
     */
    private static void share(ServerSocketChannel server) throws IOException {
        if (server.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        } else {
            LOG.warn(
                    "event=port_not_shared reason=\"no socket could be had as the program began\"");
        }
    }

    /** Ends a listening socket; who waits in its queue is reset. */
    void close(ListeningSocket listener) throws IOException {
        listener.server().close();
        sockets.remove(listener.server());
    }

    /** The one that listens there, or null. */
    ListeningSocket at(SocketAddress address) throws IOException {
        for (ListeningSocket listener : sockets.values()) {
            if (address.equals(listener.server().getLocalAddress())) {
                return listener;
            }
        }
        return null;
    }

    /**
     * Takes the next connection, or null where nobody waits or the system refuses; called on the
     * selector's thread.
     */
    SocketChannel acceptNext(SelectableChannel server) {
        ListeningSocket listener = sockets.get(server);
        if (listener == null) { // it is being closed
            return null;
        }
        listener.queue().reported();
        if (!listener.taker().hasRoom()) {
            rest(listener, FULL_REST_US);
            return null;
        }
        try {
            return listener.accept(loop.now());
        } catch (ListeningSocket.AcceptFailedException e) {
            rest(listener, e.restUs());
            return null;
        }
    }

    /** Takes in all who wait there; tells whether there was anybody. */
    boolean acceptAll(ListeningSocket listener) throws IOException {
        boolean any = false;
        SocketChannel next = acceptIfRoom(listener);
        while (next != null) {
            any = true;
            admission.accepted(next, listener);
            next = acceptIfRoom(listener);
        }
        return any;
    }

    private SocketChannel acceptIfRoom(ListeningSocket listener)
            throws ListeningSocket.AcceptFailedException {
        return listener.taker().hasRoom() ? listener.accept(loop.now()) : null;
    }

    /**
     * Takes in who waits without the selector's notice; called on its thread, which alone accepts.
     */
    void acceptUnnoticed(Selector opened) {
        for (ListeningSocket listener : sockets.values()) {
            if (listener.isWatched(opened) && acceptUnnoticed(listener)) {
                listener.watch(opened, false);
                selector.get().submit(again -> listener.watch(again, true));
            }
        }
    }

    private boolean acceptUnnoticed(ListeningSocket listener) {
        try {
            return acceptAll(listener);
        } catch (ListeningSocket.AcceptFailedException e) {
            rest(listener, e.restUs());
            return false;
        } catch (IOException | RuntimeException e) {
            LOG.warn("event=connection_not_set_up error=\"{}\"", e.getMessage());
            return true;
        }
    }

    /**
     * The selector does not look at the listener for a while: it would be ready at once, and again
     * at once.
     */
    private void rest(ListeningSocket listener, long restUs) {
        ManagedSelector looking = selector.get();
        listener.watch(looking.getSelector(), false);
        loop.in(restUs, () -> looking.submit(opened -> listener.watch(opened, true)));
    }
}
