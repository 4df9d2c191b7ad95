package damsonslip.transport;

import java.net.ConnectException;
import java.net.NoRouteToHostException;

/** Why a connection could not be opened. */
public enum ConnectFailure {
    /** The peer, or the network on the way to it, refused the connection or did not answer. */
    UNREACHABLE,
    /** No local socket, port or memory was available; nothing is known about the peer. */
    LOCAL,
    /**
     * The connection was established, but this process did not detect that within the timeout,
     * because it was suspended or the kernel did not watch the socket.
     */
    UNDETECTED;

    /** Classifies the exception of a failed attempt to open a connection. */
    static ConnectFailure of(Exception thrown) {
        return thrown instanceof ConnectException || thrown instanceof NoRouteToHostException
                ? UNREACHABLE
                : LOCAL;
    }
}
