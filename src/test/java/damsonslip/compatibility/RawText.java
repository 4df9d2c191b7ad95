package damsonslip.compatibility;

import damsonslip.testkit.Peer;
import java.io.IOException;
import java.net.SocketException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads messages from a connection exactly as they were sent, in ASCII. */
final class RawText {
    /** Written into a transcript where the peer has closed the connection. */
    static final String CLOSED = "<connection closed>";

    private static final Pattern CONTENT_LENGTH =
            Pattern.compile("(?i)\r\ncontent-length: *([0-9]+)\r\n");
    private static final Pattern HEADER = Pattern.compile("(?im)^([^:\r\n]+):.*$");

    private RawText() {}

    /** An HTTP message: its head and as many bytes of body as its Content-Length states. */
    static String httpMessage(Peer peer) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            String next = peer.bytes(1);
            if (next.isEmpty()) {
                return head + CLOSED;
            }
            head.append(next);
        }
        Matcher length = CONTENT_LENGTH.matcher(head);
        return length.find()
                ? head + peer.bytes(Integer.parseInt(length.group(1)))
                : head.toString();
    }

    /** An HTTP message, and whether the peer closes the connection after it. */
    static String lastHttpMessage(Peer peer) throws IOException {
        return httpMessage(peer) + (peer.closed() ? CLOSED : "<connection open>");
    }

    /** A line including its line end. */
    static String line(Peer peer) throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.indexOf("\n") < 0) {
            String next = peer.bytes(1);
            if (next.isEmpty()) {
                return line + CLOSED;
            }
            line.append(next);
        }
        return line.toString();
    }

    /** Everything up to the end of the connection. */
    static String untilClosed(Peer peer) throws IOException {
        StringBuilder text = new StringBuilder();
        try {
            for (String next = peer.bytes(1); !next.isEmpty(); next = peer.bytes(1)) {
                text.append(next);
            }
        } catch (SocketException e) {
            return text + "<connection reset>";
        }
        return text + CLOSED;
    }

    /** The value of a header, or an empty string if it is missing. */
    static String header(String message, String name) {
        Matcher header = HEADER.matcher(message);
        while (header.find()) {
            if (header.group(1).equalsIgnoreCase(name)) {
                return header.group().substring(name.length() + 1).strip();
            }
        }
        return "";
    }
}
