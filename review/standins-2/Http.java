package review2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** One side of an HTTP/1.1 connection, as far as the protocol page uses it. */
final class Http implements AutoCloseable {
    final Socket socket;
    private final InputStream in;

    /** A message; the first line, the header fields by their names in lower case, and the body. */
    record Message(String firstLine, Map<String, String> fields, byte[] body, long firstByteNs) {
        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    Http(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static Http connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 2_000);
        return new Http(socket);
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a line as one chunk. */
    void chunk(String line) throws IOException {
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
        send(Integer.toHexString(bytes.length) + "\r\n" + line + "\n\r\n");
    }

    /** Reads the next message; null at the end of the connection. */
    Message read() throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        long firstByteNs = System.nanoTime();
        String firstLine = (char) first + line();
        Map<String, String> fields = new HashMap<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        return new Message(firstLine, fields, in.readNBytes(length), firstByteNs);
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
