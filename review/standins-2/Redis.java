package review2;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A Redis server with the commands that a job store needs, from the public protocol. Commands are
 * executed one at a time. It can be stopped and started again on its port, with its data or without.
 */
final class Redis implements AutoCloseable {
    final int port;
    private final Map<String, String> strings = new HashMap<>();
    private final Map<String, Set<String>> sets = new HashMap<>();
    private final Map<String, Map<String, String>> hashes = new HashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;

    Redis() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        accept(listener);
    }

    /** Ends the server as a kill does: connections are reset and new ones are refused. */
    synchronized void stop() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
        connections.clear();
    }

    /** Starts the server again on the same port. */
    synchronized void start(boolean withData) throws IOException {
        if (!withData) {
            strings.clear();
            sets.clear();
            hashes.clear();
        }
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new java.net.InetSocketAddress("127.0.0.1", port));
        accept(listener);
    }

    private void accept(ServerSocket from) {
        Threads.start(
                "redis",
                () -> {
                    while (!from.isClosed()) {
                        Socket connection = from.accept();
                        connections.add(connection);
                        Threads.start("redis-connection", () -> serve(connection));
                    }
                });
    }

    private void serve(Socket connection) throws IOException {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = new BufferedOutputStream(connection.getOutputStream(), 1 << 20);
            while (true) {
                List<String> words = readCommand(in);
                String reply;
                synchronized (this) {
                    if (!connections.contains(connection)) {
                        return;
                    }
                    reply = execute(words);
                }
                out.write(reply.getBytes(StandardCharsets.UTF_8));
                if (in.available() == 0) { // a pipeline that has arrived is executed as a whole
                    out.flush();
                }
            }
        } finally {
            connections.remove(connection);
        }
    }

    private static List<String> readCommand(InputStream in) throws IOException {
        List<String> words = new ArrayList<>();
        int count = Integer.parseInt(line(in).substring(1));
        for (int i = 0; i < count; i++) {
            byte[] word = in.readNBytes(Integer.parseInt(line(in).substring(1)));
            words.add(new String(word, StandardCharsets.UTF_8));
            line(in);
        }
        return words;
    }

    private static String line(InputStream in) throws IOException {
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

    private String execute(List<String> words) {
        String key = words.size() > 1 ? words.get(1) : "";
        List<String> rest = words.subList(Math.min(2, words.size()), words.size());
        return switch (words.get(0).toUpperCase(Locale.ROOT)) {
            case "PING" -> "+PONG\r\n";
            case "CLIENT", "AUTH", "SELECT" -> "+OK\r\n";
            case "HELLO" -> "-ERR unknown command 'HELLO'\r\n";
            case "SET" -> set(key, words);
            case "GET" -> bulk(strings.get(key));
            case "MGET" -> array(words.subList(1, words.size()).stream().map(strings::get).toList());
            case "DEL" -> number(words.subList(1, words.size()).stream()
                    .filter(name -> strings.remove(name) != null).count());
            case "EXPIRE" -> number(strings.containsKey(key) ? 1 : 0);
            case "SADD" -> number(rest.stream()
                    .filter(sets.computeIfAbsent(key, k -> new TreeSet<>())::add).count());
            case "SREM" -> number(rest.stream()
                    .filter(sets.getOrDefault(key, new TreeSet<>())::remove).count());
            case "SMEMBERS" -> array(sets.getOrDefault(key, Set.of()));
            case "HSET" -> number(hashes.computeIfAbsent(key, k -> new HashMap<>())
                    .put(rest.get(0), rest.get(1)) == null ? 1 : 0);
            case "HDEL" -> number(rest.stream()
                    .filter(f -> hashes.getOrDefault(key, new HashMap<>()).remove(f) != null)
                    .count());
            case "HGETALL" -> {
                List<String> all = new ArrayList<>();
                hashes.getOrDefault(key, Map.of()).forEach((f, v) -> all.addAll(List.of(f, v)));
                yield array(all);
            }
            default -> "-ERR unknown command '" + words.get(0) + "'\r\n";
        };
    }

    /** SET with NX; an expiry of an hour or a day does not pass while a case runs. */
    private String set(String key, List<String> words) {
        boolean ifAbsent = words.stream().skip(3).anyMatch("NX"::equalsIgnoreCase);
        if (ifAbsent && strings.containsKey(key)) {
            return bulk(null);
        }
        strings.put(key, words.get(2));
        return "+OK\r\n";
    }

    private static String number(long value) {
        return ":" + value + "\r\n";
    }

    private static String bulk(String text) {
        return text == null
                ? "$-1\r\n"
                : "$" + text.getBytes(StandardCharsets.UTF_8).length + "\r\n" + text + "\r\n";
    }

    private static String array(Collection<String> texts) {
        StringBuilder all = new StringBuilder("*" + texts.size() + "\r\n");
        texts.forEach(text -> all.append(bulk(text)));
        return all.toString();
    }

    @Override
    public void close() throws IOException {
        stop();
    }
}
