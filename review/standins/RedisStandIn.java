import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * A Redis server with the commands that a job store uses, from the public protocol. Commands are
 * executed one after the other. It can restart at a chosen command: its connections are reset, it
 * refuses new ones for {@link #RESTART_MS}, and then it is back with its data.
 */
final class RedisStandIn {
    private static final long RESTART_MS = 100;

    /** Whether the command at which the server restarts is still executed; its reply never is. */
    enum Restart {
        AFTER_EXECUTION,
        BEFORE_EXECUTION
    }

    final int port;
    private final Record record;
    private final Map<String, String> strings = new LinkedHashMap<>();
    private final Map<String, Set<String>> sets = new LinkedHashMap<>();
    private final Map<String, Map<String, String>> hashes = new LinkedHashMap<>();
    private final Set<Socket> connections = new LinkedHashSet<>();
    private ServerSocket server;
    private Predicate<List<String>> restartAt;
    private Restart restart;
    private long restartedNs;

    RedisStandIn(Record record) throws IOException {
        this.record = record;
        listen(0);
        port = server.getLocalPort();
    }

    private synchronized void listen(int atPort) throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), atPort), 128);
        server = opened;
        Threads.daemon("redis", () -> accept(opened));
    }

    /** Restarts at the next command that matches, once. */
    synchronized void restartAt(Predicate<List<String>> matches, Restart when) {
        restartAt = matches;
        restart = when;
        restartedNs = 0;
    }

    /** Waits until the restart has begun; returns when that was. */
    synchronized long awaitRestart(long milliseconds) throws InterruptedException, IOException {
        long untilNs = System.nanoTime() + milliseconds * 1_000_000;
        while (restartedNs == 0) {
            long leftMs = (untilNs - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                throw new IOException("the store was never asked for the command of its restart");
            }
            wait(leftMs);
        }
        return restartedNs;
    }

    /** Returns the text under a key, or null. */
    synchronized String get(String key) {
        return strings.get(key);
    }

    private void accept(ServerSocket from) {
        while (true) {
            try {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                synchronized (this) {
                    connections.add(socket);
                }
                Threads.daemon("redis-connection", () -> serve(socket));
            } catch (IOException e) {
                return; // closed for a restart
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = new BufferedOutputStream(socket.getOutputStream());
            for (List<String> words = read(in); words != null; words = read(in)) {
                String reply = execute(words);
                if (reply == null) {
                    return;
                }
                out.write(reply.getBytes(StandardCharsets.ISO_8859_1));
                if (in.available() == 0) {
                    out.flush();
                }
            }
        } catch (IOException e) {
            // reset for a restart, or closed by the scheduler
        } finally {
            synchronized (this) {
                connections.remove(socket);
            }
        }
    }

    private static List<String> read(InputStream in) throws IOException {
        String head = line(in);
        if (head == null) {
            return null;
        }
        List<String> words = new ArrayList<>();
        for (int i = Integer.parseInt(head.substring(1)); i > 0; i--) {
            byte[] word = in.readNBytes(Integer.parseInt(line(in).substring(1)));
            words.add(new String(word, StandardCharsets.ISO_8859_1));
            line(in);
        }
        return words;
    }

    private static String line(InputStream in) throws IOException {
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

    /** Returns the reply; null if the connection has been reset instead. */
    private synchronized String execute(List<String> words) throws IOException {
        if (restartAt == null || !restartAt.test(words)) {
            return answer(words);
        }
        restartAt = null;
        boolean executed = restart == Restart.AFTER_EXECUTION;
        if (executed) {
            answer(words);
        }
        record.log(
                "store: restarts at %s %s, which is %s; its reply is lost",
                words.get(0), words.get(1), executed ? "executed" : "not executed");
        server.close();
        for (Socket socket : connections) {
            socket.setSoLinger(true, 0); // closed with a reset
            socket.close();
        }
        restartedNs = System.nanoTime();
        notifyAll();
        Threads.daemon("redis-restart", this::comeBack);
        return null;
    }

    private void comeBack() {
        try {
            Thread.sleep(RESTART_MS);
            listen(port);
            record.log("store: is back with its data");
        } catch (IOException | InterruptedException e) {
            record.log("store: does not come back: %s", e);
        }
    }

    private String answer(List<String> words) {
        String name = words.get(0).toUpperCase(Locale.ROOT);
        String key = words.size() > 1 ? words.get(1) : "";
        List<String> rest = words.subList(Math.min(2, words.size()), words.size());
        switch (name) {
            case "SET":
                boolean onlyIfAbsent = words.stream().skip(3).anyMatch("NX"::equalsIgnoreCase);
                if (onlyIfAbsent && strings.containsKey(key)) {
                    return "$-1\r\n";
                }
                strings.put(key, words.get(2));
                return "+OK\r\n";
            case "GET":
                return bulk(strings.get(key));
            case "MGET":
                return array(words.stream().skip(1).map(strings::get).toList());
            case "DEL":
                return number(
                        words.stream().skip(1).filter(k -> strings.remove(k) != null).count());
            case "SADD":
                Set<String> grown = sets.computeIfAbsent(key, k -> new LinkedHashSet<>());
                return number(rest.stream().filter(grown::add).count());
            case "SREM":
                Set<String> shrunk = sets.getOrDefault(key, new LinkedHashSet<>());
                return number(rest.stream().filter(shrunk::remove).count());
            case "SMEMBERS":
                return array(new ArrayList<>(sets.getOrDefault(key, Set.of())));
            case "HSET":
                Map<String, String> hash = hashes.computeIfAbsent(key, k -> new LinkedHashMap<>());
                return number(hash.put(words.get(2), words.get(3)) == null ? 1 : 0);
            case "HDEL":
                Map<String, String> fields = hashes.getOrDefault(key, new LinkedHashMap<>());
                return number(rest.stream().filter(f -> fields.remove(f) != null).count());
            case "HGETALL":
                List<String> all = new ArrayList<>();
                hashes.getOrDefault(key, Map.of())
                        .forEach((field, value) -> all.addAll(List.of(field, value)));
                return array(all);
            case "EXPIRE":
                return ":1\r\n";
            case "PING":
                return "+PONG\r\n";
            case "CLIENT", "AUTH", "SELECT":
                return "+OK\r\n";
            default:
                return "-ERR unknown command '" + name + "'\r\n";
        }
    }

    private static String number(long n) {
        return ":" + n + "\r\n";
    }

    private static String bulk(String text) {
        return text == null ? "$-1\r\n" : "$" + text.length() + "\r\n" + text + "\r\n";
    }

    private static String array(List<String> texts) {
        StringBuilder all = new StringBuilder("*" + texts.size() + "\r\n");
        texts.forEach(text -> all.append(bulk(text)));
        return all.toString();
    }
}
