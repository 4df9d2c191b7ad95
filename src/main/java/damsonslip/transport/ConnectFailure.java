package damsonslip.transport;

import java.net.ConnectException;
import java.net.NoRouteToHostException;

/** Why a connection could not be opened. */
public enum ConnectFailure {
    /** The peer, or the network on the way there, refused it or did not answer. */
    UNREACHABLE,
    /** This machine had no socket, port or memory for it, so that nothing is known of the peer. */
    LOCAL,
    /**
     * The connection was established, but this process did not notice within the timeout: it was
     * suspended, or the system did not watch the socket.
     */
    UNDETECTED;

    /** Classifies what the call threw that was to open the connection. */
    static ConnectFailure of(Exception thrown) {
        return thrown instanceof ConnectException || thrown instanceof NoRouteToHostException
                ? UNREACHABLE
                : LOCAL;
    }
}
