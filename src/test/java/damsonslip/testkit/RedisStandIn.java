package damsonslip.testkit;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * A fake Redis server with the commands that the store uses, written from the public protocol. It
 * can be stopped and restarted, stall, answer errors, and apply a {@link TrapAction} to the next
 * command that matches a predicate.
 */
public final class RedisStandIn implements AutoCloseable {
    private static final String TEXT = "text";
    private static final String MEMBER = "member";
    private static final String FIELD = "field";

    public final int port;

    private static final long BIND_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(2);
    private final Map<String, String> strings = new TreeMap<>();
    private final Map<String, Set<String>> sets = new TreeMap<>();
    private final Map<String, Map<String, String>> hashes = new TreeMap<>();
    private Peer.Server server;
    private volatile Trap trap;
    private volatile HeldReply held;
    private volatile boolean errors;
    private volatile long stalledUntil;

    /**
     * What happens to a trapped command. No action sends a reply: the first two keep the connection
     * open for a minute, the last closes it.
     */
    public enum TrapAction {
        IGNORE_AND_HANG,
        EXECUTE_AND_HANG,
        EXECUTE_AND_CLOSE
    }

    private record Trap(
            Predicate<List<String>> matches, TrapAction action, CountDownLatch triggered) {}

    /** Applies the action to the next matching command; the latch opens once that has happened. */
    public CountDownLatch trapNext(Predicate<List<String>> matches, TrapAction action) {
        CountDownLatch triggered = new CountDownLatch(1);
        trap = new Trap(matches, action, triggered);
        return triggered;
    }

    /** A command whose reply, like all later ones, is held back until it is released. */
    public static final class HeldReply {
        private final Predicate<List<String>> matches;
        private final CountDownLatch executed = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        private HeldReply(Predicate<List<String>> matches) {
            this.matches = matches;
        }

        /** Waits until the command has been executed; returns whether it has within this time. */
        public boolean awaitExecution(long seconds) throws InterruptedException {
            return executed.await(seconds, TimeUnit.SECONDS);
        }

        public void release() {
            released.countDown();
        }
    }

    /** Executes the next matching command, and holds its reply back. */
    public HeldReply holdNext(Predicate<List<String>> matches) {
        held = new HeldReply(matches);
        return held;
    }

    private void holdIfMatched(List<String> words) throws InterruptedException {
        HeldReply current = held;
        if (current != null && current.matches.test(words)) {
            held = null;
            current.executed.countDown();
            current.released.await();
        }
    }

    /** Stores a string directly, without a protocol command. */
    public synchronized void put(String key, String text) {
        strings.put(key, text);
    }

    /**
     * All stored entries, each as a list: the type, the key, and the value of a string, the member
     * of a set, or the field and value of a hash.
     */
    public synchronized List<List<String>> entries() {
        List<List<String>> entries = new ArrayList<>();
        strings.forEach((key, value) -> entries.add(List.of(TEXT, key, value)));
        sets.forEach(
                (key, members) ->
                        members.forEach(member -> entries.add(List.of(MEMBER, key, member))));
        hashes.forEach(
                (key, fields) ->
                        fields.forEach(
                                (field, value) -> entries.add(List.of(FIELD, key, field, value))));
        return entries;
    }

    /** Adds entries returned by {@link #entries} directly, without protocol commands. */
    public synchronized void addEntries(List<List<String>> entries) {
        for (List<String> entry : entries) {
            String key = entry.get(1);
            switch (entry.get(0)) {
                case TEXT -> strings.put(key, entry.get(2));
                case MEMBER -> sets.computeIfAbsent(key, k -> new TreeSet<>()).add(entry.get(2));
                case FIELD ->
                        hashes.computeIfAbsent(key, k -> new TreeMap<>())
                                .put(entry.get(2), entry.get(3));
                default -> throw new IllegalArgumentException("not an entry: " + entry);
            }
        }
    }

    /** Loses all data, as a server does that is started again without its files. */
    public synchronized void wipe() {
        strings.clear();
        sets.clear();
        hashes.clear();
    }

    /** Turns error replies to every command on or off. */
    public void errors(boolean on) {
        errors = on;
    }

    /** Delays the execution of all commands for this long. */
    public void stall(long ms) {
        stalledUntil = System.nanoTime() + ms * 1_000_000;
    }

    private boolean handledByTrap(List<String> words) throws IOException, InterruptedException {
        while (System.nanoTime() < stalledUntil) {
            Thread.sleep(10);
        }
        Trap set = trap;
        if (set == null || !set.matches().test(words)) {
            return false;
        }
        trap = null;
        if (set.action() != TrapAction.IGNORE_AND_HANG) {
            answer(words);
        }
        set.triggered().countDown();
        if (set.action() != TrapAction.EXECUTE_AND_CLOSE) {
            Thread.sleep(60_000);
        }
        return true;
    }

    public RedisStandIn() throws IOException {
        this(Program.freePort());
    }

    private RedisStandIn(int port) throws IOException {
        this.port = port;
        up();
    }

    public void up() throws IOException {
        ServerSocket listening = new ServerSocket();
        long end = System.nanoTime() + BIND_TIMEOUT_NS;
        while (!listening.isBound()) {
            try {
                listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            } catch (BindException e) { // the socket of before is being closed by its thread
                if (System.nanoTime() > end) {
                    throw e;
                }
            }
        }
        server =
                new Peer.Server(
                        listening,
                        peer -> {
                            while (true) {
                                List<String> words = new ArrayList<>();
                                String head = peer.line();
                                if (head == null) {
                                    return;
                                }
                                for (int i = Integer.parseInt(head.substring(1)); i > 0; i--) {
                                    words.add(
                                            peer.bytes(Integer.parseInt(peer.line().substring(1))));
                                    peer.line();
                                }
                                if (handledByTrap(words)) {
                                    return;
                                }
                                String reply =
                                        errors
                                                ? "-ERR this stand-in was told to fail\r\n"
                                                : answer(words);
                                holdIfMatched(words);
                                peer.send(reply);
                            }
                        });
    }

    public void down() throws IOException {
        server.close();
    }

    private synchronized String answer(List<String> words) {
        String key = words.size() > 1 ? words.get(1) : "";
        List<String> rest = words.subList(Math.min(2, words.size()), words.size());
        return switch (words.get(0).toUpperCase(java.util.Locale.ROOT)) {
            case "SET" -> {
                boolean taken = words.contains("NX") || words.contains("nx");
                if (taken && strings.containsKey(key)) {
                    yield "$-1\r\n";
                }
                strings.put(key, words.get(2));
                yield "+OK\r\n";
            }
            case "GET" -> bulkOrNull(strings.get(key));
            case "MGET" ->
                    array(words.subList(1, words.size()).stream().map(strings::get).toList());
            case "DEL" ->
                    number(
                            words.subList(1, words.size()).stream()
                                    .filter(k -> strings.remove(k) != null)
                                    .count());
            case "SADD" ->
                    number(
                            rest.stream()
                                    .filter(sets.computeIfAbsent(key, k -> new TreeSet<>())::add)
                                    .count());
            case "SREM" ->
                    number(
                            rest.stream()
                                    .filter(sets.getOrDefault(key, new TreeSet<>())::remove)
                                    .count());
            case "SMEMBERS" -> array(List.copyOf(sets.getOrDefault(key, Set.of())));
            case "HSET" ->
                    number(
                            hashes.computeIfAbsent(key, k -> new TreeMap<>())
                                                    .put(words.get(2), words.get(3))
                                            == null
                                    ? 1
                                    : 0);
            case "HDEL" ->
                    number(
                            rest.stream()
                                    .filter(
                                            f ->
                                                    hashes.getOrDefault(key, new TreeMap<>())
                                                                    .remove(f)
                                                            != null)
                                    .count());
            case "HGETALL" ->
                    array(
                            hashes.getOrDefault(key, Map.of()).entrySet().stream()
                                    .flatMap(
                                            each ->
                                                    java.util.stream.Stream.of(
                                                            each.getKey(), each.getValue()))
                                    .toList());
            case "EXPIRE" -> ":1\r\n";
            case "PING" -> "+PONG\r\n";
            case "CLIENT", "AUTH", "SELECT" -> "+OK\r\n";
            default -> "-ERR unknown command " + words.get(0) + "\r\n";
        };
    }

    private static String number(long n) {
        return ":" + n + "\r\n";
    }

    private static String bulkOrNull(String text) {
        return text == null ? "$-1\r\n" : bulk(text);
    }

    private static String array(List<String> strings) {
        StringBuilder all = new StringBuilder("*" + strings.size() + "\r\n");
        strings.forEach(text -> all.append(bulkOrNull(text)));
        return all.toString();
    }

    private static String bulk(String text) {
        return "$" + text.getBytes(StandardCharsets.UTF_8).length + "\r\n" + text + "\r\n";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Runs as a separate process for measurements; arguments: port, seconds (at most 600). */
    public static void main(String[] args) throws IOException, InterruptedException {
        try (RedisStandIn redis = new RedisStandIn(Integer.parseInt(args[0]))) {
            Thread.sleep(1_000L * Math.min(600, Integer.parseInt(args[1])));
        }
    }
}
