package damsonslip.testkit;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One side of a connection, on blocking sockets, with just enough HTTP to be a client or a server.
 */
public final class Peer implements Closeable {
    /** A received HTTP message. */
    public record Message(String first, Map<String, String> fields, String body) {
        public int status() {
            return Integer.parseInt(first.split(" ", 0)[1]);
        }

        public String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** What a server does with a connection. */
    public interface Handler {
        void handle(Peer peer) throws IOException, InterruptedException;
    }

    /** A server on the loopback interface with one thread per connection. */
    public static final class Server implements Closeable {
        private final ServerSocket socket;
        private final List<Peer> peers = new CopyOnWriteArrayList<>();

        public Server(int port, Handler handler) throws IOException {
            this(new ServerSocket(port, 100, InetAddress.getLoopbackAddress()), handler);
        }

        /** Serves connections of an already configured listening socket. */
        public Server(ServerSocket listening, Handler handler) {
            socket = listening;
            daemon(
                    () -> {
                        while (!socket.isClosed()) {
                            Peer peer = new Peer(socket.accept());
                            peers.add(peer);
                            daemon(
                                    () -> {
                                        try (peer) {
                                            handler.handle(peer);
                                        }
                                    });
                        }
                    });
        }

        public int port() {
            return socket.getLocalPort();
        }

        public int connections() {
            return peers.size();
        }

        /** Closes the open connections; new ones are still accepted. */
        public void endConnections() throws IOException {
            for (Peer peer : peers) {
                peer.close();
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Peer peer : peers) {
                peer.close();
            }
        }
    }

    private interface Task {
        void run() throws IOException, InterruptedException;
    }

    private static void daemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | InterruptedException e) {
                                // the peer has disconnected, or the test is over
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private final Socket socket;
    private final InputStream in;

    Peer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        this.in = new BufferedInputStream(socket.getInputStream());
    }

    public static Peer connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(6_000);
        return new Peer(socket);
    }

    public Peer send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return this;
    }

    /** A line without its end; null at the end of the stream. */
    public String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).strip();
    }

    /** Reads a message with a Content-Length, or without content. */
    public Message message() throws IOException {
        String first = line();
        if (first == null) {
            throw new EOFException("closed");
        }
        Map<String, String> fields = new TreeMap<>();
        for (String line = line(); line != null && !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        return new Message(
                first, fields, new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }

    /**
     * Waits for input and returns what is available, up to {@code maxBytes}; empty at the end of
     * the stream.
     */
    public String readAvailable(int maxBytes) throws IOException {
        byte[] part = new byte[maxBytes];
        int count = socket.getInputStream().read(part);
        return new String(part, 0, Math.max(0, count), StandardCharsets.US_ASCII);
    }

    public String bytes(int count) throws IOException {
        return new String(in.readNBytes(count), StandardCharsets.UTF_8);
    }

    /** Whether the stream has ended; fails on a reset. */
    public boolean ended() throws IOException {
        return in.read() < 0;
    }

    /** Whether the stream has ended or the connection was reset. */
    public boolean closed() {
        try {
            return ended();
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Whether no byte arrives within this time. */
    public boolean silent(int millis) throws IOException {
        socket.setSoTimeout(millis);
        try {
            in.mark(1);
            in.read();
            in.reset();
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    /** Answers a job as a worker does: each line in a chunk of its own. */
    public Peer answerLines(String... lines) throws IOException {
        send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (String line : lines) {
            chunk(line);
        }
        return send("0\r\n\r\n");
    }

    public Peer chunk(String line) throws IOException {
        int length = (line + "\n").getBytes(StandardCharsets.UTF_8).length;
        return send(Integer.toHexString(length) + "\r\n" + line + "\n\r\n");
    }

    /** Half-closes the connection: no more output, but input can still be read. */
    public void endOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Closes the connection with a TCP reset. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Closes the connection at once, without sending anything. */
    @Override
    public void close() throws IOException {
        socket.close();
    }
}
