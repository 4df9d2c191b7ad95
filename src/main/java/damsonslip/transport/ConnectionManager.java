package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Opens and accepts {@link EventLoopConnection}s, over one selector of Jetty's. */
public final class ConnectionManager extends SelectorManager {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionManager.class);

    /**
     * What the system may hold of a message for a server that does not take it. Small, so that the
     * last byte of a large one has not left while the peer stands still; a head and the usual body
     * fit in several times.
     */
    private static final int SEND_BUFFER = 16 * 1024;

    /**
     * The same for peers that connect to us, whose links are longer: 0.6 MB/s at 0.1 s, and any
     * usual answer whole.
     */
    private static final int ANSWER_BUFFER = 64 * 1024;

    /**
     * A selector, what it hands over, and two to spare while either waits. The JDK's pool, since
     * Jetty's own makes code for its threads' names and looks for a security manager: a tenth of a
     * start's CPU.
     */
    private static final int MOST_THREADS = 4;

    /**
     * The selector looks this often though nothing happens. So it is known of every socket that it
     * was empty two rounds ago at the latest, and only a process that was held up has to reckon
     * with more ({@link EventLoopConnection#TOLERATED_WAIT_US}).
     */
    private static final long ROUND_MS = 40;

    /**
     * A round that took so long was held up: what comes behind it would count as old as its begin.
     */
    private static final long HELD_UP_US = 2 * ROUND_MS * 1_000;

    /**
     * Sockets that stay quiet are looked at this often, since the system may not watch them
     * (epoll_ctl(2)). Below the half second by which an answer may be late at the most (STANDING).
     */
    private static final long LOOK_US = 400_000;

    private final EventLoop loop;
    private final RoundClock rounds;

    /** All that were opened, and some that are closed since the last look; touched on the loop. */
    private final List<EventLoopConnection> open = new ArrayList<>();

    private final Listeners listeners;

    /** Accepted, and not yet set up. */
    private final Map<SelectableChannel, Admission> admitted = new ConcurrentHashMap<>();

    private volatile ManagedSelector selector;

    /** A connection that was accepted, and when it has come at the earliest. */
    private record Admission(ListeningSocket listener, long arrivedAfterUs) {}

    /** Makes the link for a connection that is up. */
    public interface ConnectionFactory {
        EventLoopConnection open(EndPoint endPoint);

        /** The connection never came up; told on the loop. */
        default void failed(ConnectFailure why) {}
    }

    /** Decides on connections that come in. */
    public interface ConnectionAcceptor extends ConnectionFactory {
        /**
         * Whether a connection may be accepted now; who comes meanwhile waits to be. Called on the
         * selector's thread.
         */
        default boolean hasRoom() {
            return true;
        }

        /**
         * Takes room for one more, if there is any: it will be opened or turned back. Called on any
         * thread.
         */
        boolean admit();

        /** What was admitted has failed before it was opened. Called on any thread. */
        void turnedBack();
    }

    private ConnectionManager(EventLoop loop) {
        super(threads(), new ScheduledExecutorScheduler(loop.executor()), 1);
        this.loop = loop;
        this.rounds = new RoundClock(loop::now);
        this.listeners = new Listeners(loop, () -> selector, this::accepted);
    }

    /**
     * Starts the selector; waits where the system has no descriptors to give just now. Not to be
     * called on the loop.
     */
    public static ConnectionManager start(EventLoop loop, long connectTimeoutMs)
            throws IOException {
        ConnectionManager links = DescriptorShortage.outlast(() -> started(loop, connectTimeoutMs));
        loop.in(LOOK_US, links::lookBehindSelector);
        return links;
    }

    private static ConnectionManager started(EventLoop loop, long connectTimeoutMs)
            throws IOException {
        ConnectionManager links = new ConnectionManager(loop);
        links.setConnectTimeout(connectTimeoutMs);
        try {
            links.start();
            return links;
        } catch (IOException | RuntimeException e) {
            throw e;
        } catch (Exception e) { // Jetty declares no narrower type
            throw new IllegalStateException("the selector did not start", e);
        }
    }

    private void lookBehindSelector() {
        open.removeIf(EventLoopConnection::isClosed);
        List.copyOf(open).forEach(EventLoopConnection::checkUnreported);
        selector.submit(listeners::acceptUnnoticed);
        loop.in(LOOK_US, this::lookBehindSelector);
    }

    /**
     * All are there from the start: one that cannot be started later would cost the connection that
     * asked for it.
     */
    private static ThreadPoolExecutor threads() {
        ThreadPoolExecutor threads =
                new ThreadPoolExecutor(
                        MOST_THREADS,
                        MOST_THREADS,
                        0,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(),
                        ConnectionManager::thread);
        threads.prestartAllCoreThreads();
        return threads;
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "net");
        thread.setDaemon(true);
        return thread;
    }

    public EventLoop loop() {
        return loop;
    }

    /**
     * Listens there until the result is closed; waits where the system has no socket to give just
     * now. Not to be called on the loop.
     */
    public Closeable listen(InetSocketAddress address, ConnectionAcceptor taker)
            throws IOException {
        return DescriptorShortage.outlast(() -> open(address, taker, false));
    }

    /**
     * Listens there until the listener is shut.
     *
     * @param shared whether another process may listen there as well
     */
    public ListeningPort open(InetSocketAddress address, ConnectionAcceptor taker, boolean shared)
            throws IOException {
        ListeningSocket socket =
                listeners.bind(address, taker, shared, new ArrivalBound(rounds, loop.now()));
        Closeable acceptor = acceptor(socket.server());
        selector.submit(
                watching -> socket.queue().watched(true)); // behind the acceptor's own registration
        return new ListeningPort(loop, listeners, socket, acceptor);
    }

    /**
     * Opens a connection; the opening is told on the loop how that went.
     *
     * @return gives the dial up and frees its descriptor, if it has not come up yet; whether that
     *     is told is left open
     */
    public Closeable connect(InetSocketAddress address, ConnectionFactory opening) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER);
            if (channel.connect(address)) {
                accept(channel, opening);
            } else {
                connect(
                        channel,
                        new PendingConnect(channel, opening, loop, getConnectTimeout() * 1_000));
            }
        } catch (IOException | RuntimeException e) {
            close(channel);
            ConnectFailure why = ConnectFailure.of(e);
            loop.execute(() -> opening.failed(why));
        }
        SocketChannel dialled = channel;
        return () -> close(dialled);
    }

    /**
     * Takes the next connection on the selector's thread. Where the system refuses, this says that
     * nobody waits: Jetty answers a failure by closing the connection that it accepted before,
     * whose request would be lost.
     */
    @Override
    protected SelectableChannel doAccept(SelectableChannel server) {
        return listeners.acceptNext(server);
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
        SocketChannel accepted = (SocketChannel) channel;
        accepted(accepted, listeners.at(accepted.getLocalAddress()));
    }

    private void accepted(SocketChannel channel, ListeningSocket listener) throws IOException {
        if (listener == null || !listener.taker().admit()) {
            close(channel);
            return;
        }
        admitted.put(channel, new Admission(listener, listener.queue().arrivedAfterUs()));
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            channel.setOption(StandardSocketOptions.SO_SNDBUF, ANSWER_BUFFER);
            accept(channel, listener.taker());
        } catch (IOException | RuntimeException e) {
            onAcceptFailed(channel, e);
            throw e;
        }
    }

    @Override
    protected void onAcceptFailed(SelectableChannel channel, Throwable cause) {
        Admission admission = admitted.remove(channel);
        if (admission != null) {
            admission.listener().taker().turnedBack();
        }
    }

    /** The selector, in rounds of bounded length whose times are known. */
    @Override
    protected ManagedSelector newSelector(int id) {
        selector =
                new ManagedSelector(this, id) {
                    @Override
                    protected int nioSelect(Selector asked, boolean now) throws IOException {
                        rounds.begins();
                        boolean heldUp =
                                rounds.lastTookUs()
                                        > HELD_UP_US; // then at once a round that is known to be
                        // short
                        return now || heldUp ? asked.selectNow() : asked.select(ROUND_MS);
                    }
                };
        return selector;
    }

    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selecting, SelectionKey key) {
        Admission admission = admitted.get(channel);
        long afterUs = admission == null ? loop.now() : admission.arrivedAfterUs();
        return new LoopEndPoint(
                (SocketChannel) channel,
                selecting,
                new RearmableKey(key),
                getScheduler(),
                loop,
                new ArrivalBound(rounds, afterUs));
    }

    @Override
    public Connection newConnection(
            SelectableChannel channel, EndPoint endPoint, Object attachment) {
        admitted.remove(channel);
        EventLoopConnection link = ((ConnectionFactory) attachment).open(endPoint);
        loop.execute(() -> open.add(link));
        return link;
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable ex, Object attachment) {
        close(channel);
        loop.execute(() -> ((ConnectionFactory) attachment).failed(ConnectFailure.UNREACHABLE));
    }

    private static void close(SelectableChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // a connection that is given up anyway
        }
    }
}
