import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 connection, from either side, as the protocol page describes it. */
final class Http implements Closeable {
    final Socket socket;
    private final InputStream in;

    Http(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static Http connect(int port, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
        socket.setSoTimeout(timeoutMs);
        return new Http(socket);
    }

    /** A message: its first line, its headers with names in lower case, and its body. */
    record Message(String start, Map<String, String> headers, String body) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    /** Reads a message; null at the end of the stream. */
    Message read() throws IOException {
        String start = line();
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(); line != null && !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Message(
                start, headers, new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    /** Sends one line on a connection of its own; returns the answer's first line, or nothing. */
    static String line(int port, String call) {
        try (Http http = connect(port, 2_000)) {
            http.write(call + "\n");
            String answer = http.line();
            return answer == null ? "" : answer;
        } catch (IOException e) {
            return "";
        }
    }

    /** The request of a client for a job. */
    static String job(String id, String jobClass, long timeLeftMs, String body) {
        return "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: " + jobClass + "\r\nX-Time-Left: " + timeLeftMs
                + "m\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
