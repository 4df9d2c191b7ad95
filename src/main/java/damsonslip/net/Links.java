package damsonslip.net;

import damsonslip.core.Loop;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** Opens and accepts {@link Link}s, over one selector of Jetty's. */
public final class Links extends SelectorManager {
    private static final int BACKLOG = 512;

    private final Loop loop;
    private final Map<SocketAddress, Accepting> accepting = new ConcurrentHashMap<>();

    /** Makes the link for a connection that is up. */
    public interface Opening {
        Link open(EndPoint endPoint);

        /** The connection never came up; told on the loop. */
        default void failed() { }
    }

    /** Decides on connections that come in. */
    public interface Accepting extends Opening {
        /** Whether there is room for one more. */
        boolean mayAccept();
    }

    private Links(Loop loop, QueuedThreadPool threads) {
        super(threads, new ScheduledExecutorScheduler(loop.executor()), 1);
        this.loop = loop;
    }

    /** Starts the selector. */
    public static Links start(Loop loop, long connectTimeoutMs) {
        QueuedThreadPool threads = new QueuedThreadPool(4, 2);
        threads.setName("net");
        threads.setDaemon(true);
        threads.setReservedThreads(0);
        Links links = new Links(loop, threads);
        links.setConnectTimeout(connectTimeoutMs);
        links.addBean(threads);
        try {
            links.start();
        } catch (Exception e) { // Jetty declares no narrower type
            throw new IllegalStateException("the selector did not start", e);
        }
        return links;
    }

    public Loop loop() {
        return loop;
    }

    /** Listens there until the result is closed. */
    public Closeable listen(InetSocketAddress address, Accepting taker) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(address, BACKLOG);
            server.configureBlocking(false);
        } catch (IOException | RuntimeException e) {
            server.close();
            throw e;
        }
        accepting.put(server.getLocalAddress(), taker);
        Closeable acceptor = acceptor(server);
        return () -> {
            acceptor.close();
            server.close();
        };
    }

    /** Opens a connection; the opening is told on the loop how that went. */
    public void connect(InetSocketAddress address, Opening opening) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            if (channel.connect(address)) {
                accept(channel, opening);
            } else {
                connect(channel, opening);
            }
        } catch (IOException | RuntimeException e) {
            close(channel);
            loop.execute(opening::failed);
        }
    }

    @Override
    protected void accepted(SelectableChannel channel) throws IOException {
        SocketChannel accepted = (SocketChannel) channel;
        Accepting taker = accepting.get(accepted.getLocalAddress());
        if (taker == null || !taker.mayAccept()) {
            close(channel);
            return;
        }
        accepted.configureBlocking(false);
        accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
        accept(channel, taker);
    }

    @Override
    protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new SocketChannelEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    @Override
    public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
        return ((Opening) attachment).open(endPoint);
    }

    @Override
    protected void connectionFailed(SelectableChannel channel, Throwable ex, Object attachment) {
        close(channel);
        loop.execute(((Opening) attachment)::failed);
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
