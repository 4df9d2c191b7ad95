package damsonslip.transport;

import damsonslip.engine.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An address where connections are accepted, which can be given up without turning away anybody who
 * came before that.
 */
public final class ListeningPort implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(ListeningPort.class);
    private static final long LOOK_US = 1_000;

    private final EventLoop loop;
    private final Listeners listeners;
    private final ListeningSocket socket;
    private final Closeable acceptor;
    private boolean shut;

    /**
     * @param acceptor has the selector let go of the socket
     */
    ListeningPort(EventLoop loop, Listeners listeners, ListeningSocket socket, Closeable acceptor) {
        this.loop = loop;
        this.listeners = listeners;
        this.socket = socket;
        this.acceptor = acceptor;
    }

    /** Ends it at once; who waits in its queue is reset. */
    @Override
    public void close() throws IOException {
        acceptor.close();
        listeners.close(socket);
    }

    /**
     * Shuts it; called on the loop. Guards against connections that the system has accepted and
     * nobody has taken: a close resets them. The JVM puts the close off until the selector has let
     * go of the socket, and all who come until then would be lost; so the selector lets go first,
     * then all are taken, and the close follows at once.
     */
    public void shut() {
        try {
            acceptor.close();
        } catch (IOException e) {
            LOG.warn("the selector did not let go of the listener: {}", e.getMessage());
        }
        letGo();
    }

    /** Whether all who came before it was shut have been taken in; read on the loop. */
    public boolean isShut() {
        return shut;
    }

    /**
     * While accepts fail it stays open: its close would reset who waits, and they may go well in a
     * moment.
     */
    private void letGo() {
        boolean free = !socket.server().isRegistered();
        try {
            listeners.acceptAll(socket);
            if (free) {
                listeners.close(socket);
                shut = true;
                return;
            }
            loop.in(LOOK_US, this::letGo);
        } catch (ListeningSocket.AcceptFailedException e) {
            loop.in(e.restUs(), this::letGo);
        } catch (IOException e) {
            LOG.warn("the listener did not close: {}", e.getMessage());
            loop.in(LOOK_US, this::letGo);
        }
    }
}
