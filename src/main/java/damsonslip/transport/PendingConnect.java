package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EndPoint;

/**
 * A connection that is being established. If epoll_ctl(2) fails for lack of memory, or the selector
 * is delayed, nothing is reported when the connection is established, and the connect timeout would
 * expire although the peer has accepted it. Therefore the socket itself is checked shortly before
 * the timeout.
 */
final class PendingConnect implements ConnectionManager.ConnectionFactory {
    private static final long CHECK_BEFORE_TIMEOUT_US = 20_000;

    private final SocketChannel channel;
    private final ConnectionManager.ConnectionFactory factory;
    private final EventLoop.Timer check;
    private boolean failed;

    PendingConnect(
            SocketChannel channel,
            ConnectionManager.ConnectionFactory factory,
            EventLoop loop,
            long timeoutUs) {
        this.channel = channel;
        this.factory = factory;
        this.check = loop.scheduleAfter(timeoutUs - CHECK_BEFORE_TIMEOUT_US, this::checkUnreported);
    }

    /**
     * Closes the socket and reports a failure if the connection is established by now: after {@code
     * finishConnect} the selector no longer reports the connection, only its timeout.
     */
    private void checkUnreported() {
        try {
            if (channel.isConnectionPending() && channel.finishConnect()) {
                channel.close();
                connectFailed(ConnectFailure.UNDETECTED);
            }
        } catch (IOException e) { // refused or reset; the selector would have reported the same
            connectFailed(ConnectFailure.UNREACHABLE);
        }
    }

    @Override
    public EventLoopConnection open(EndPoint endPoint) {
        check.cancel();
        return factory.open(endPoint);
    }

    /** Called on the loop; both the check and the selector may report a failure. */
    @Override
    public void connectFailed(ConnectFailure failure) {
        check.cancel();
        if (!failed) {
            failed = true;
            factory.connectFailed(failure);
        }
    }
}
