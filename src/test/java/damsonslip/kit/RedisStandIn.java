package damsonslip.kit;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** As much of a Redis server as the store uses, from the public protocol; it can be taken down and brought back. */
public final class RedisStandIn implements AutoCloseable {
    public final int port = Program.freePort();
    private final Map<String, String> texts = new TreeMap<>();
    private final Map<String, Set<String>> sets = new TreeMap<>();
    private Peer.Server server;

    public RedisStandIn() throws IOException {
        up();
    }

    public void up() throws IOException {
        server = new Peer.Server(port, peer -> {
            while (true) {
                List<String> words = new ArrayList<>();
                String head = peer.line();
                if (head == null) {
                    return;
                }
                for (int i = Integer.parseInt(head.substring(1)); i > 0; i--) {
                    words.add(peer.bytes(Integer.parseInt(peer.line().substring(1))));
                    peer.line();
                }
                peer.send(answer(words));
            }
        });
    }

    public void down() throws IOException {
        server.close();
    }

    private synchronized String answer(List<String> words) {
        String key = words.size() > 1 ? words.get(1) : "";
        return switch (words.get(0).toUpperCase(java.util.Locale.ROOT)) {
            case "SET" -> {
                boolean taken = words.contains("NX") || words.contains("nx");
                if (taken && texts.containsKey(key)) {
                    yield "$-1\r\n";
                }
                texts.put(key, words.get(2));
                yield "+OK\r\n";
            }
            case "GET" -> texts.containsKey(key) ? bulk(texts.get(key)) : "$-1\r\n";
            case "SADD" -> ":" + (sets.computeIfAbsent(key, k -> new TreeSet<>()).add(words.get(2)) ? 1 : 0) + "\r\n";
            case "SREM" -> ":" + (sets.getOrDefault(key, Set.of()).contains(words.get(2))
                && sets.get(key).remove(words.get(2)) ? 1 : 0) + "\r\n";
            case "SMEMBERS" -> {
                Set<String> members = sets.getOrDefault(key, Set.of());
                StringBuilder all = new StringBuilder("*" + members.size() + "\r\n");
                members.forEach(member -> all.append(bulk(member)));
                yield all.toString();
            }
            case "EXPIRE" -> ":1\r\n";
            case "PING" -> "+PONG\r\n";
            case "CLIENT", "AUTH", "SELECT" -> "+OK\r\n";
            default -> "-ERR unknown command " + words.get(0) + "\r\n";
        };
    }

    private static String bulk(String text) {
        return "$" + text.getBytes(StandardCharsets.UTF_8).length + "\r\n" + text + "\r\n";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
