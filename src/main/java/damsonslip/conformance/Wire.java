package damsonslip.conformance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** A client's or worker's connection. */
final class Wire implements Closeable {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final int PATIENCE_MS = 8_000;
    private static final int LONGEST = 16 * 1024 * 1024;

    /**
     * What the server said.
     *
     * @param error whether it was an error
     * @param text  its words; null for a bulk of nothing
     */
    record Reply(boolean error, String text) {
        boolean ok() {
            return !error && "OK".equals(text);
        }

        JsonNode json() throws IOException {
            return JSON.readTree(text == null ? "null" : text);
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;
    private final String greeting;

    /** Connects and reads the greeting. */
    Wire(InetSocketAddress server) throws IOException {
        socket.connect(server, PATIENCE_MS);
        socket.setSoTimeout(PATIENCE_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        greeting = read().text();
    }

    String greeting() {
        return greeting;
    }

    /** Says HELLO; an empty {@code wid} makes a producer. */
    Reply hello(String wid, String password) throws IOException {
        JsonNode asked = JSON.readTree(greeting.substring(greeting.indexOf('{')));
        var hello = JSON.createObjectNode().put("v", 2).put("hostname", "conformance").put("pid", 1);
        hello.putArray("labels").add("conformance");
        if (!wid.isEmpty()) {
            hello.put("wid", wid);
        }
        if (asked.has("s")) {
            hello.put("pwdhash", hash(password + asked.path("s").asText(), asked.path("i").asInt(1)));
        }
        return call("HELLO " + hello);
    }

    static String hash(String text, int rounds) {
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

    void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    Reply call(String line) throws IOException {
        send(line);
        return read();
    }

    /** Reads one reply. */
    Reply read() throws IOException {
        String line = line();
        return switch (line.isEmpty() ? ' ' : line.charAt(0)) {
            case '+' -> new Reply(false, line.substring(1));
            case '-' -> new Reply(true, line.substring(1));
            case ':' -> new Reply(false, line.substring(1));
            case '$' -> {
                int length = Integer.parseInt(line.substring(1));
                if (length < 0) {
                    yield new Reply(false, null);
                }
                if (length > LONGEST) {
                    throw new IOException("a reply of " + length + " bytes");
                }
                byte[] content = in.readNBytes(length);
                if (content.length < length || !line().isEmpty()) {
                    throw new IOException("a bulk reply that does not end where it says");
                }
                yield new Reply(false, new String(content, StandardCharsets.UTF_8));
            }
            default -> throw new IOException("not a reply: " + line.substring(0, Math.min(60, line.length())));
        };
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the server closed the connection");
            }
            line.append((char) b);
        }
        return line.length() > 0 && line.charAt(line.length() - 1) == '\r' ? line.substring(0, line.length() - 1)
            : line.toString();
    }

    /** Whether the server has ended the connection, read to its end. */
    boolean ended() {
        try {
            while (in.read() >= 0) {
                continue; // what it said before it closed
            }
            return true;
        } catch (java.net.SocketTimeoutException e) {
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
