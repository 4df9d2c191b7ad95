package damsonslip.platform;

import damsonslip.testkit.Program;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Measures how 300 slow clients of every kind affect ordinary clients. Not a test (its name keeps
 * it out of CI), but {@code make bench-slow-peers}, which takes two minutes on an otherwise idle
 * machine. Rounds without and with slow clients alternate.
 */
class SlowPeersMeasurement extends PlatformStage {
    private static final int SLOW_CLIENTS = 300;
    private static final int ORDINARY_CLIENTS = 12;
    private static final int ROUNDS = 3;
    private static final long ROUND_MS = 12_000;
    private static final double LATENCY_OBJECTIVE_MS = 500;
    private static final String LARGE_RESULT = "x".repeat(250_000);
    private static final Work WORK =
            (peer, job) -> {
                Thread.sleep(15);
                String id = job.field("X-Correlation-Id");
                peer.answerLines(
                        state(job, "started", ""),
                        state(
                                job,
                                "done",
                                ",\"result\":\""
                                        + (id.startsWith("big") ? LARGE_RESULT : "r-" + id)
                                        + "\",\"load\":{\"x0\":3}"));
            };

    /** What a slow client does on a connection until that ends. */
    private interface Behaviour {
        void on(Socket socket, String id) throws IOException, InterruptedException;
    }

    private static final List<Behaviour> BEHAVIOURS =
            List.of(
                    (socket, id) -> socket.getInputStream().read(), // sends nothing
                    (socket, id) ->
                            trickle(
                                    socket,
                                    requestText(id, "read", "4000m"),
                                    0), // sends its head byte by byte
                    (socket, id) ->
                            trickle(
                                    socket,
                                    requestText(id, "read", "4000m"),
                                    4), // sends its body byte by byte
                    (socket, id) -> { // reads nothing of a large answer
                        send(socket, requestText(id, "read", "4000m"));
                        Thread.sleep(60_000);
                    },
                    (socket, id) -> { // reads 1 KB a second of a large answer
                        send(socket, requestText(id, "read", "4000m"));
                        InputStream in = socket.getInputStream();
                        while (in.read(new byte[100]) >= 0) {
                            Thread.sleep(100);
                        }
                    });

    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger ids = new AtomicInteger();
    private volatile boolean stop;

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static void trickle(Socket socket, String text, int lastBytes)
            throws IOException, InterruptedException {
        int from = lastBytes == 0 ? 0 : text.length() - lastBytes;
        send(socket, text.substring(0, from));
        for (int i = from; i < text.length(); i++) {
            send(socket, text.substring(i, i + 1));
            Thread.sleep(900); // well within every idle timeout
        }
        while (socket.getInputStream().read(new byte[4096]) >= 0) {
            continue;
        }
    }

    private void runSlowClient(Behaviour behaviour) {
        while (!stop) {
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(4096);
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                sockets.add(socket);
                behaviour.on(socket, "big" + ids.incrementAndGet());
            } catch (IOException e) {
                // closed by the scheduler: connect again
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /**
     * Sends requests and records the latency of each in milliseconds, or -1 if it was not served.
     */
    private void runOrdinaryClient(ConcurrentLinkedQueue<Double> times) {
        while (!stop) {
            long before = System.nanoTime();
            boolean served;
            try {
                String id = "u" + ids.incrementAndGet();
                served =
                        exchange(requestText(id, ids.get() % 2 == 0 ? "read" : "submit", "2000m"))
                                        .status()
                                == 200;
            } catch (IOException e) {
                served = false;
            }
            times.add(served ? (System.nanoTime() - before) / 1e6 : -1);
        }
    }

    private String round(int slowPeers) throws Exception {
        stop = false;
        ConcurrentLinkedQueue<Double> times = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < slowPeers; i++) {
            Behaviour behaviour = BEHAVIOURS.get(i % BEHAVIOURS.size());
            threads.add(new Thread(() -> runSlowClient(behaviour)));
        }
        threads.forEach(Thread::start);
        Thread.sleep(
                slowPeers > 0 ? 3_000 : 500); // all slow clients are connected before measuring
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ORDINARY_CLIENTS; i++) {
            clients.add(new Thread(() -> runOrdinaryClient(times)));
        }
        clients.forEach(Thread::start);
        Thread.sleep(ROUND_MS);
        String resources = program.sockets() + " sockets, " + program.residentMb() + " MB";
        stop = true;
        for (Thread each : clients) {
            each.join();
        }
        for (Socket each : sockets) {
            each.close();
        }
        sockets.clear();
        for (Thread each : threads) {
            each.interrupt();
            each.join();
        }
        double[] served =
                times.stream()
                        .filter(time -> time >= 0)
                        .mapToDouble(time -> time)
                        .sorted()
                        .toArray();
        long inTime = Arrays.stream(served).filter(time -> time <= LATENCY_OBJECTIVE_MS).count();
        return String.format(
                "%3d slow: %5d queries, %.4f in time, median %.1f ms, 99%% %.1f ms; %s",
                slowPeers,
                times.size(),
                (double) inTime / times.size(),
                served[served.length / 2],
                served[served.length * 99 / 100],
                resources);
    }

    @Test
    void measuresOrdinaryClientsBesideSlowOnes() throws Exception {
        Path file =
                config(
                        list(
                                7,
                                true,
                                worker("a", WORK),
                                worker("b", WORK),
                                worker("c", WORK),
                                worker("d", WORK)));
        program =
                new Program(file, Map.of(), List.of("-Xmx64m", "-Xss256k"), "serve")
                        .awaitOutput("listens on");
        round(0); // warms up the JIT compiler
        for (int i = 0; i < ROUNDS; i++) {
            System.out.println(round(0));
            System.out.println(round(SLOW_CLIENTS));
        }
        program.terminate();
        program.exit();
        program.output()
                .lines()
                .filter(line -> line.startsWith("counters"))
                .forEach(System.out::println);
    }
}
