package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An address where connections are accepted, which can be closed without a reset of those that wait
 * in its queue.
 */
public final class ListeningPort implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(ListeningPort.class);

    /** Delay before the next check of whether the selector has released the socket. */
    private static final long RETRY_DELAY_US = 1_000;

    private final EventLoop loop;
    private final Listeners listeners;
    private final ListeningSocket socket;
    private final Closeable registration;
    private boolean closedGracefully;

    /**
     * @param registration has the selector release the socket when it is closed
     */
    ListeningPort(
            EventLoop loop, Listeners listeners, ListeningSocket socket, Closeable registration) {
        this.loop = loop;
        this.listeners = listeners;
        this.socket = socket;
        this.registration = registration;
    }

    /** Closes the address at once; connections in its queue are reset. */
    @Override
    public void close() throws IOException {
        registration.close();
        listeners.close(socket);
    }

    /**
     * Closes the address gracefully; called on the loop. A close resets the connections that wait
     * in the queue, and the JVM delays it until the selector has released the socket, so that all
     * that come until then would be reset as well. So the selector releases the socket first, then
     * all connections are accepted, and the close follows at once.
     */
    public void closeGracefully() {
        try {
            registration.close();
        } catch (IOException e) {
            LOG.warn("event=listener_not_released error=\"{}\"", e.getMessage());
        }
        drainAndClose();
    }

    /** Whether the graceful close is complete; called on the loop. */
    public boolean isClosedGracefully() {
        return closedGracefully;
    }

    /**
     * Accepts what waits, and closes the socket once it is released. While accepts fail it stays
     * open: its close would reset connections that can soon be accepted.
     */
    private void drainAndClose() {
        boolean released = !socket.server().isRegistered();
        try {
            listeners.acceptAll(socket);
            if (released) {
                listeners.close(socket);
                closedGracefully = true;
                return;
            }
            loop.scheduleAfter(RETRY_DELAY_US, this::drainAndClose);
        } catch (ListeningSocket.AcceptFailedException e) {
            loop.scheduleAfter(e.retryDelayUs(), this::drainAndClose);
        } catch (IOException e) {
            LOG.warn("event=listener_not_closed error=\"{}\"", e.getMessage());
            loop.scheduleAfter(RETRY_DELAY_US, this::drainAndClose);
        }
    }
}
