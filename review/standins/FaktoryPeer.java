import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A producer or worker of Faktory's work protocol, from its public description. */
final class FaktoryPeer implements Closeable {
    private static final Pattern JID = Pattern.compile("\"jid\":\"([^\"]*)\"");
    private static final int READ_TIMEOUT_MS = 10_000;

    private final Socket socket = new Socket();
    private final InputStream in;

    /**
     * Connects and says HELLO.
     *
     * @param wid the worker's id; empty for a producer
     */
    FaktoryPeer(int port, String wid) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
        line();
        String worker =
                wid.isEmpty()
                        ? ""
                        : ",\"wid\":\"" + wid + "\",\"hostname\":\"host-" + wid + "\",\"pid\":7,\"labels\":[]";
        String hello = call("HELLO {\"v\":2" + worker + "}");
        if (!"+OK".equals(hello)) {
            throw new IOException("HELLO: " + hello);
        }
    }

    /** Sends a command; returns its reply, the content of a bulk reply, or null for an empty one. */
    String call(String command) throws IOException {
        socket.getOutputStream().write((command + "\r\n").getBytes(StandardCharsets.UTF_8));
        String first = line();
        if (first == null) {
            throw new IOException("the scheduler has closed the connection");
        }
        if (!first.startsWith("$")) {
            return first;
        }
        int length = Integer.parseInt(first.substring(1));
        if (length < 0) {
            return null;
        }
        String text = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        line();
        return text;
    }

    /** Fetches a job from a queue; returns its id, or null if none came within two seconds. */
    String fetch(String queue) throws IOException {
        String reply = call("FETCH " + queue);
        if (reply == null) {
            return null;
        }
        Matcher matcher = JID.matcher(reply);
        if (!matcher.find()) {
            throw new IOException("FETCH: " + reply);
        }
        return matcher.group(1);
    }

    String ack(String jid) throws IOException {
        return call("ACK {\"jid\":\"" + jid + "\"}");
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

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
