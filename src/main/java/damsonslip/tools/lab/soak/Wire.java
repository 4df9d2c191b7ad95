package damsonslip.tools.lab.soak;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
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

/**
 * One side of a connection, with blocking reads of HTTP messages. Records when each message began
 * to arrive and when it was complete.
 */
final class Wire implements Closeable {
    private static final int CONNECT_MS = 2_000;
    private static final int BUFFER = 8 * 1024;

    /** A received message, with the times at which its first and last byte were read. */
    record Message(
            String first, Map<String, String> fields, byte[] body, long beganUs, long receivedUs) {
        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(first.split(" ", 0)[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private final Socket socket;
    private final InputStream in;
    private final byte[] buffer = new byte[BUFFER];
    private int from;
    private int to;
    private long readUs;

    Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        this.in = socket.getInputStream();
    }

    static Wire connect(int port) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_MS);
            return new Wire(socket);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** The port of the other side. */
    int peerPort() {
        return socket.getPort();
    }

    void timeout(long us) throws IOException {
        socket.setSoTimeout((int) Math.max(1, us / Clock.MILLISECOND));
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.UTF_8));
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Sends a text in about this many pieces, with a pause after each. */
    void sendInPieces(String text, int pieces, long pauseUs)
            throws IOException, InterruptedException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int size = Math.max(1, bytes.length / pieces);
        for (int at = 0; at < bytes.length; at += size) {
            socket.getOutputStream().write(bytes, at, Math.min(size, bytes.length - at));
            Clock.sleepUs(pauseUs);
        }
    }

    /** Reads the next message; null if the connection ends before its first byte. */
    Message read() throws IOException {
        if (from == to && !fill()) {
            return null;
        }
        long beganUs = readUs;
        String first = line();
        Map<String, String> fields = new HashMap<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                fields.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
        }
        byte[] body = bytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
        return new Message(first, fields, body, beganUs, readUs);
    }

    private boolean fill() throws IOException {
        int got = in.read(buffer, 0, buffer.length);
        readUs = Clock.nowUs();
        from = 0;
        to = Math.max(0, got);
        return got > 0;
    }

    private int next() throws IOException {
        if (from == to && !fill()) {
            throw new EOFException("ended within a message");
        }
        return buffer[from++];
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = next(); b != '\n'; b = next()) {
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    private byte[] bytes(int count) throws IOException {
        byte[] bytes = new byte[count];
        for (int i = 0; i < count; i++) {
            bytes[i] = (byte) next();
        }
        return bytes;
    }

    /** Ends the connection with a reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
