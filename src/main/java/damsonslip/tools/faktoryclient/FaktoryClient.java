package damsonslip.tools.faktoryclient;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A producer's or worker's connection to a Faktory server. Blocking, with timeouts; not
 * thread-safe.
 */
public final class FaktoryClient implements Closeable {
    /** For building commands and reading replies. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private static final int BUFFER_BYTES = 64 * 1024;

    /** Longest bulk reply that is read, in bytes. */
    private static final int MAX_REPLY_BYTES = 16 * 1024 * 1024;

    /** Number of characters of a malformed reply that are quoted in the error. */
    private static final int MAX_SHOWN_CHARS = 60;

    /**
     * A server's reply.
     *
     * @param error whether it is an error
     * @param text its text; null for an empty bulk reply
     */
    public record Reply(boolean error, String text) {
        /** Whether the reply is {@code OK}. */
        public boolean ok() {
            return !error && "OK".equals(text);
        }

        /** The text as JSON; a JSON null for an empty bulk reply. */
        public JsonNode json() throws IOException {
            return JSON.readTree(text == null ? "null" : text);
        }
    }

    private final String name;
    private final Socket socket = new Socket();
    private final InputStream in;
    private final String greeting;

    /**
     * Connects and reads the greeting.
     *
     * @param name this client's host name and label in its HELLO
     * @param connectTimeoutMs longest time to connect, in milliseconds
     * @param readTimeoutMs longest wait for a part of a reply, in milliseconds
     */
    public FaktoryClient(
            InetSocketAddress server, String name, int connectTimeoutMs, int readTimeoutMs)
            throws IOException {
        this.name = name;
        socket.connect(server, connectTimeoutMs);
        socket.setSoTimeout(readTimeoutMs);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES);
        greeting = read().text();
    }

    /** The server's greeting: HI and a JSON object. */
    public String greeting() {
        return greeting;
    }

    /** Sends HELLO; an empty {@code wid} makes this a producer's connection. */
    public Reply hello(String wid, String password) throws IOException {
        JsonNode serverHello = JSON.readTree(greeting.substring(greeting.indexOf('{')));
        var hello = JSON.createObjectNode().put("v", 2).put("hostname", name).put("pid", 1);
        hello.putArray("labels").add(name);
        if (!wid.isEmpty()) {
            hello.put("wid", wid);
        }
        if (serverHello.has("s")) {
            hello.put(
                    "pwdhash",
                    hash(
                            password + serverHello.path("s").asText(),
                            serverHello.path("i").asInt(1)));
        }
        return call("HELLO " + hello);
    }

    private static String hash(String text, int rounds) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            byte[] hash = text.getBytes(StandardCharsets.UTF_8);
            for (int i = 0; i < rounds; i++) {
                hash = sha.digest(hash);
            }
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    /** Sends one line without reading a reply. */
    public void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a command and reads its reply. */
    public Reply call(String line) throws IOException {
        send(line);
        return read();
    }

    /**
     * Reads one reply.
     *
     * @throws IOException if the connection ends or times out, or the reply is malformed
     */
    public Reply read() throws IOException {
        String line = readLine();
        return switch (line.isEmpty() ? ' ' : line.charAt(0)) {
            case '+', ':' -> new Reply(false, line.substring(1));
            case '-' -> new Reply(true, line.substring(1));
            case '$' -> new Reply(false, readBulk(Integer.parseInt(line.substring(1))));
            default ->
                    throw new IOException(
                            "not a reply: "
                                    + line.substring(0, Math.min(MAX_SHOWN_CHARS, line.length())));
        };
    }

    private String readBulk(int length) throws IOException {
        if (length < 0) {
            return null;
        }
        if (length > MAX_REPLY_BYTES) {
            throw new IOException("a reply of " + length + " bytes");
        }
        byte[] content = in.readNBytes(length);
        if (content.length < length || !readLine().isEmpty()) {
            throw new IOException("a bulk reply that does not end where it says");
        }
        return new String(content, StandardCharsets.UTF_8);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the server closed the connection");
            }
            line.append((char) b);
        }
        return line.length() > 0 && line.charAt(line.length() - 1) == '\r'
                ? line.substring(0, line.length() - 1)
                : line.toString();
    }

    /**
     * Reads to the end of the connection; returns whether the server ended it within the read
     * timeout.
     */
    public boolean ended() {
        try {
            int next = in.read();
            while (next >= 0) { // skips what the server sent before closing
                next = in.read();
            }
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
