package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/**
 * Opens and accepts {@link EventLoopConnection}s with one selector of Jetty's. Methods that Jetty
 * calls run on the selector's thread or on another thread of its pool; callbacks to connections and
 * factories run on the event loop unless stated otherwise.
 */
public final class ConnectionManager extends SelectorManager {
    /**
     * Send buffer of connections to workers. It is small so that the last byte of a large request
     * is not passed to the kernel while the worker reads nothing; it still has room for several
     * requests of the usual size.
     */
    private static final int REQUEST_SEND_BUFFER_BYTES = 16 * 1024;

    /**
     * Send buffer of accepted connections, whose round trips are longer. It allows 0.6 MB/s at a
     * round trip of 0.1 s, and holds any response of usual size completely.
     */
    private static final int RESPONSE_SEND_BUFFER_BYTES = 64 * 1024;

    /**
     * Interval of the checks for sockets that the kernel does not watch because epoll_ctl(2)
     * failed. Less than the 0.5 s by which a response may be late (STANDING).
     */
    private static final long UNREPORTED_CHECK_INTERVAL_US = 400_000;

    private final EventLoop loop;
    private final RoundClock rounds;
    private final SelectorMonitor selectorMonitor = new SelectorMonitor();

    /** Used on the loop. */
    private final ReadBufferPool readBuffers = new ReadBufferPool();

    /** Open connections, and those closed since the last check; used on the loop. */
    private final List<EventLoopConnection> connections = new ArrayList<>();

    private final Listeners listeners;

    /** Connections that have been accepted and not set up yet. */
    private final Map<SelectableChannel, Accepted> accepted = new ConcurrentHashMap<>();

    private volatile ManagedSelector selector;

    /** An accepted connection's listener, and a time at which no bytes of it had arrived yet. */
    private record Accepted(ListeningSocket listener, long arrivedAfterUs) {}

    /** Creates the object that implements the protocol of a connection. */
    public interface ConnectionFactory {
        /** Creates the connection; called on a thread of Jetty's. */
        EventLoopConnection open(EndPoint endPoint);

        /** Called on the loop if the connection could not be established. */
        default void connectFailed(ConnectFailure failure) {}
    }

    /** Decides which connections are accepted. */
    public interface ConnectionAcceptor extends ConnectionFactory {
        /**
         * Whether a connection may be accepted now; otherwise it stays in the accept queue. Called
         * on the selector's thread.
         */
        default boolean hasCapacity() {
            return true;
        }

        /**
         * Counts one more connection if the limit allows it. It will then be opened, or reported to
         * {@link #admissionFailed}. Called on any thread.
         */
        boolean admit();

        /** Called on any thread when an admitted connection failed before it was opened. */
        void admissionFailed();
    }

    private ConnectionManager(EventLoop loop) {
        super(SelectorThreads.start(), new ScheduledExecutorScheduler(loop.executor()), 1);
        this.loop = loop;
        this.rounds = new RoundClock(loop::nowUs);
        this.listeners = new Listeners(loop, () -> selector, this::setUpAccepted);
    }

    /**
     * Starts a selector; blocks while no descriptors are available. Must not be called on the loop.
     *
     * @throws IOException if this fails for another reason, or no descriptor becomes available in
     *     time
     */
    public static ConnectionManager start(EventLoop loop, long connectTimeoutMs)
            throws IOException {
        ConnectionManager manager =
                DescriptorShortage.retryWhileShort(() -> startOnce(loop, connectTimeoutMs));
        loop.repeatAfter(UNREPORTED_CHECK_INTERVAL_US, manager::checkUnreported);
        return manager;
    }

    private static ConnectionManager startOnce(EventLoop loop, long connectTimeoutMs)
            throws IOException {
        ConnectionManager manager = new ConnectionManager(loop);
        manager.setConnectTimeout(connectTimeoutMs);
        try {
            manager.start();
            return manager;
        } catch (IOException | RuntimeException e) {
            throw e;
        } catch (Exception e) { // Jetty declares no narrower type
            throw new IllegalStateException("the selector did not start", e);
        }
    }

    /** Checks all sockets for events that the selector has not reported, and the selector. */
    private void checkUnreported() {
        selectorMonitor.check(task -> selector.submit(thisRound -> task.run()));
        connections.removeIf(EventLoopConnection::isClosed);
        List.copyOf(connections).forEach(EventLoopConnection::checkUnreported);
        selector.submit(listeners::acceptUnreported);
    }

    /** Returns the event loop on which all connections are used. */
    public EventLoop loop() {
        return loop;
    }

    /**
     * Listens at an address until the result is closed; blocks while no socket is available. Must
     * not be called on the loop.
     *
     * @throws IOException if the address is not available
     */
    public ListeningPort listen(InetSocketAddress address, ConnectionAcceptor acceptor)
            throws IOException {
        return DescriptorShortage.retryWhileShort(() -> listenOnPort(address, acceptor, false));
    }

    /**
     * Listens at an address until the port is closed.
     *
     * @param shared whether other processes may listen at the same address (SO_REUSEPORT)
     * @throws IOException if the address or a socket is not available
     */
    public ListeningPort listenOnPort(
            InetSocketAddress address, ConnectionAcceptor acceptor, boolean shared)
            throws IOException {
        ArrivalBound queueArrival = new ArrivalBound(rounds, loop.nowUs());
        ListeningSocket socket = listeners.bind(address, acceptor, shared, queueArrival);
        Closeable registration = acceptor(socket.server());
        // runs after the registration that acceptor() has submitted
        selector.submit(registered -> socket.queueArrival().setWatched(true));
        return new ListeningPort(loop, listeners, socket, registration);
    }

    /**
     * Opens a connection; the factory is notified of the outcome on the loop.
     *
     * @return a handle that abandons the attempt and frees its descriptor, if the connection is not
     *     established yet; the factory may or may not be notified then
     */
    public Closeable connect(InetSocketAddress address, ConnectionFactory factory) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            configure(channel, REQUEST_SEND_BUFFER_BYTES);
            if (channel.connect(address)) {
                accept(channel, factory);
            } else {
                long timeoutUs = getConnectTimeout() * 1_000;
                connect(channel, new PendingConnect(channel, factory, loop, timeoutUs));
            }
        } catch (IOException | RuntimeException e) {
            close(channel);
            ConnectFailure failure = ConnectFailure.of(e);
            loop.execute(() -> factory.connectFailed(failure));
        }
        SocketChannel attempt = channel;
        return () -> close(attempt);
    }

    private static void configure(SocketChannel channel, int sendBufferBytes) throws IOException {
        channel.configureBlocking(false);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_SNDBUF, sendBufferBytes);
    }

    /**
     * Returns the next connection, or null if none is queued or the accept fails; called on the
     * selector's thread. This must not throw: Jetty would close the connection accepted before,
     * whose request would be lost.
     */
    @Override
    protected SelectableChannel doAccept(SelectableChannel server) {
        return listeners.acceptNext(server);
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
        SocketChannel connection = (SocketChannel) channel;
        setUpAccepted(connection, listeners.findByAddress(connection.getLocalAddress()));
    }

    private void setUpAccepted(SocketChannel channel, ListeningSocket listener) throws IOException {
        if (listener == null || !listener.acceptor().admit()) {
            close(channel);
            return;
        }
        accepted.put(channel, new Accepted(listener, listener.queueArrival().arrivedAfterUs()));
        try {
            configure(channel, RESPONSE_SEND_BUFFER_BYTES);
            accept(channel, listener.acceptor());
        } catch (IOException | RuntimeException e) {
            onAcceptFailed(channel, e);
            throw e;
        }
    }

    @Override
    protected void onAcceptFailed(SelectableChannel channel, Throwable cause) {
        Accepted failed = accepted.remove(channel);
        if (failed != null) {
            failed.listener().acceptor().admissionFailed();
        }
    }

    @Override
    protected ManagedSelector newSelector(int id) {
        selector = new TimedSelector(this, id, rounds);
        return selector;
    }

    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector managedSelector, SelectionKey key) {
        Accepted origin = accepted.get(channel);
        long arrivedAfterUs = origin == null ? loop.nowUs() : origin.arrivedAfterUs();
        return new LoopEndPoint(
                (SocketChannel) channel,
                managedSelector,
                new RearmableKey(key),
                getScheduler(),
                loop,
                new ArrivalBound(rounds, arrivedAfterUs),
                readBuffers);
    }

    @Override
    public Connection newConnection(
            SelectableChannel channel, EndPoint endPoint, Object attachment) {
        accepted.remove(channel);
        EventLoopConnection connection = ((ConnectionFactory) attachment).open(endPoint);
        loop.execute(() -> connections.add(connection));
        return connection;
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable cause, Object attachment) {
        close(channel);
        loop.execute(
                () -> ((ConnectionFactory) attachment).connectFailed(ConnectFailure.UNREACHABLE));
    }

    private static void close(SelectableChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // the connection is abandoned anyway, and its descriptor is released
        }
    }
}
