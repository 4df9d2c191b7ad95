package review2;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A producer's or a worker's connection, as the Faktory work protocol (version 2) describes it. */
final class Peer implements AutoCloseable {
    private static final Pattern JID = Pattern.compile("\"jid\"\\s*:\\s*\"([^\"]*)\"");
    private static final Pattern STATE = Pattern.compile("\"state\"\\s*:\\s*\"([^\"]*)\"");
    private static final int REPLY_TIMEOUT_MS = 100_000;
    private static final int RETRY_PAUSE_MS = 1_500;

    private final Socket socket = new Socket();
    private final InputStream in;

    private Peer(int port, String hello) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 2_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(REPLY_TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream());
        if (!line().startsWith("+HI ")) {
            throw new IOException("no HI");
        }
        String reply = call("HELLO " + hello);
        if (!"+OK".equals(reply)) {
            throw new IOException("HELLO: " + reply);
        }
    }

    static Peer producer(int port) throws IOException {
        return new Peer(port, "{\"v\":2}");
    }

    static Peer worker(int port, String wid, int pid) throws IOException {
        return new Peer(
                port,
                "{\"v\":2,\"wid\":\"" + wid + "\",\"hostname\":\"" + wid + "\",\"pid\":" + pid
                        + ",\"labels\":[\"dc-1\"]}");
    }

    /** Sends a command without waiting for its reply. */
    void send(String command) throws IOException {
        socket.getOutputStream().write((command + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a command; returns its reply: a line with its mark, a bulk's content, or null. */
    String call(String command) throws IOException {
        send(command);
        return reply();
    }

    String reply() throws IOException {
        String first = line();
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

    /** Pushes a job; {@code more} is further JSON fields with a leading comma, or empty. */
    String push(String jid, String queue, String jobtype, String more) throws IOException {
        return call(pushCommand(jid, queue, jobtype, more));
    }

    /** Pushes a job, up to twice more if it is told that the job was not taken. */
    String pushWithRetries(Case owner, String jid, String queue, String jobtype, String more)
            throws IOException, InterruptedException {
        String told = push(jid, queue, jobtype, more);
        owner.note("PUSH " + jid + ": " + told);
        for (int retry = 1; retry <= 2 && !"+OK".equals(told); retry++) {
            Thread.sleep(RETRY_PAUSE_MS);
            told = push(jid, queue, jobtype, more);
            owner.note("PUSH " + jid + " again: " + told);
        }
        return told;
    }

    static String pushCommand(String jid, String queue, String jobtype, String more) {
        return "PUSH {\"jid\":\"" + jid + "\",\"queue\":\"" + queue + "\",\"jobtype\":\"" + jobtype
                + "\",\"args\":[1]" + more + "}";
    }

    /** Fetches a job; null if none came within the protocol's two seconds. */
    String fetch(String queues) throws IOException {
        String job = call("FETCH " + queues);
        if (job == null || job.startsWith("-")) {
            return null;
        }
        Matcher found = JID.matcher(job);
        return found.find() ? found.group(1) : null;
    }

    String ack(String jid) throws IOException {
        return call("ACK {\"jid\":\"" + jid + "\"}");
    }

    String fail(String jid) throws IOException {
        return call("FAIL {\"jid\":\"" + jid + "\",\"errtype\":\"Error\",\"message\":\"failed\"}");
    }

    /** The state that TRACK GET tells. */
    String state(String jid) throws IOException {
        String tracked = call("TRACK GET " + jid);
        Matcher found = STATE.matcher(String.valueOf(tracked));
        return found.find() ? found.group(1) : String.valueOf(tracked);
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("closed by the scheduler");
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
