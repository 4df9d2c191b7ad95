package damsonslip.transport;

import java.net.ConnectException;
import java.net.NoRouteToHostException;

/** Why a connection did not come up. */
public enum ConnectFailure {
    /** The other side, or the network on the way there, refused it or said nothing. */
    UNREACHABLE,
    /**
     * This machine had no socket, port or memory for it, so that nothing is known of the other
     * side.
     */
    LOCAL,
    /**
     * It came up, and this machine did not hear of it within the limit: it was held up, or did not
     * watch the socket.
     */
    UNHEARD;

    /** Tells by what the call threw that was to begin the connection. */
    static ConnectFailure of(Exception thrown) {
        return thrown instanceof ConnectException || thrown instanceof NoRouteToHostException
                ? UNREACHABLE
                : LOCAL;
    }
}
