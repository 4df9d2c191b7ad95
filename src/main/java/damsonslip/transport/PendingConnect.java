package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EndPoint;

/**
 * A connection that is being established. The system may not watch its socket (epoll_ctl(2) fails
 * for lack of memory), or the selector may be delayed; then nothing is reported when it is
 * established, and its timeout passes, which says nothing of the peer. So the socket itself is
 * checked just before the timeout.
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
     * Ends the attempt if the connection is established: after this check the selector does not
     * find it any more, and would only report its timeout.
     */
    private void checkUnreported() {
        try {
            if (channel.isConnectionPending() && channel.finishConnect()) {
                channel.close();
                connectFailed(ConnectFailure.UNDETECTED);
            }
        } catch (IOException e) { // refused or reset, as the selector would have reported
            connectFailed(ConnectFailure.UNREACHABLE);
        }
    }

    @Override
    public EventLoopConnection open(EndPoint endPoint) {
        check.cancel();
        return factory.open(endPoint);
    }

    /** Called on the loop; the check and the selector may both find a failure. */
    @Override
    public void connectFailed(ConnectFailure failure) {
        check.cancel();
        if (!failed) {
            failed = true;
            factory.connectFailed(failure);
        }
    }
}
