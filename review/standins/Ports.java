import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds ports for the programs under test. */
final class Ports {
    private Ports() {}

    /** Returns a port on loopback that is free now. */
    static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
