package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EndPoint;

/**
 * A connection on its way. The system may not watch it (epoll_ctl(2) fails for lack of memory), or
 * the selector may be held up; then nothing is heard when it comes up, and its time limit passes.
 * That says nothing of the other side.
 */
final class PendingConnect implements ConnectionManager.ConnectionFactory {
    /** It is looked at this long before its limit. */
    private static final long LOOK_BEFORE_US = 20_000;

    private final SocketChannel channel;
    private final ConnectionManager.ConnectionFactory opening;
    private final EventLoop.Timer look;
    private boolean failed;

    PendingConnect(
            SocketChannel channel,
            ConnectionManager.ConnectionFactory opening,
            EventLoop loop,
            long limitUs) {
        this.channel = channel;
        this.opening = opening;
        this.look = loop.in(limitUs - LOOK_BEFORE_US, this::lookBehindSelector);
    }

    /**
     * What is found here the selector does not find any more, and its limit passes without a word:
     * so it ends here.
     */
    private void lookBehindSelector() {
        try {
            if (channel.isConnectionPending() && channel.finishConnect()) {
                channel.close();
                failed(ConnectFailure.UNHEARD);
            }
        } catch (IOException e) {
            failed(ConnectFailure.UNREACHABLE); // refused or reset, as the selector would have told
        }
    }

    @Override
    public EventLoopConnection open(EndPoint endPoint) {
        look.cancel();
        return opening.open(endPoint);
    }

    /** Told on the loop; the look and the selector may both find a failure. */
    @Override
    public void failed(ConnectFailure why) {
        look.cancel();
        if (!failed) {
            failed = true;
            opening.failed(why);
        }
    }
}
