package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A listening address that can be closed without a reset of the connections in its accept queue.
 */
public final class ListeningPort implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(ListeningPort.class);

    /** Delay before the next check of whether the selector has deregistered the socket. */
    private static final long RETRY_DELAY_US = 1_000;

    private final EventLoop loop;
    private final Listeners listeners;
    private final ListeningSocket socket;
    private final Closeable registration;
    private boolean closedGracefully;

    /**
     * @param registration the socket's registration with the selector; closing it deregisters the
     *     socket
     */
    ListeningPort(
            EventLoop loop, Listeners listeners, ListeningSocket socket, Closeable registration) {
        this.loop = loop;
        this.listeners = listeners;
        this.socket = socket;
        this.registration = registration;
    }

    /** Closes the socket at once; connections in its accept queue are reset. */
    @Override
    public void close() throws IOException {
        registration.close();
        listeners.close(socket);
    }

    /**
     * Closes the socket gracefully; called on the loop. A close resets the connections in the
     * accept queue, and the JVM delays it until the selector has deregistered the socket, so that
     * connections that arrive in the meantime would be reset as well. Therefore the selector
     * deregisters the socket first; then all queued connections are accepted, and the socket is
     * closed immediately afterwards.
     */
    public void closeGracefully() {
        try {
            registration.close();
        } catch (IOException e) {
            LOG.warn("event=listener_not_released error=\"{}\"", e.getMessage());
        }
        drainAndClose();
    }

    /** Whether a graceful close has completed; called on the loop. */
    public boolean isClosedGracefully() {
        return closedGracefully;
    }

    /**
     * Accepts all queued connections, and closes the socket once the selector has deregistered it.
     * While accepts fail the socket stays open, since closing it would reset connections that can
     * probably be accepted soon.
     */
    private void drainAndClose() {
        boolean deregistered = !socket.server().isRegistered();
        try {
            listeners.acceptAll(socket);
            if (deregistered) {
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
