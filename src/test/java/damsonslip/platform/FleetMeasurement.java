package damsonslip.platform;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Measures how a hundred and more processes of {@code run} start and serve on the available cores.
 * Not a test (its name keeps it out of CI) but {@code make bench-fleet}, which takes two minutes
 * and up to 8 GB of memory. Needs the JAR file and the archive of its classes.
 */
class FleetMeasurement extends PlatformStage {
    private static final int STARTS = 100;
    private static final int PROCESSES = 120;
    private static final int WORKERS = 400;

    /** One worker in so many drains halfway through; these workers have ports of their own. */
    private static final int DRAINING_ONE_OF = 10;

    private static final int PORTS = 20;
    private static final long LOAD_MS = 20_000;

    /** Pause between the requests of a client: each process gets three requests a second. */
    private static final long PAUSE_MS = 333;

    private static final long WORK_MS = 30;

    /** The drain grace of the settings and the allowance of the rules on sockets. */
    private static final long DRAINED_MS = 550;

    private static final long START_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(60);

    /**
     * Below the range of ephemeral ports, one of which could be taken before its scheduler listens.
     */
    private static final int FIRST_PORT = 20_000;

    private record Outcome(int status, double ms) {}

    private final List<Program> programs = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final List<String> entries = new ArrayList<>();
    private final Map<Integer, List<Outcome>> outcomes = new ConcurrentHashMap<>();
    private final AtomicInteger jobsAtDraining = new AtomicInteger();
    private final AtomicInteger lateJobsAtDraining = new AtomicInteger();

    /** The time at which each process was notified of the drains. */
    private final AtomicLongArray notifiedNs = new AtomicLongArray(PROCESSES);

    private volatile boolean over;

    @AfterEach
    void endAll() {
        programs.forEach(Program::close);
    }

    private void startWorkers() throws IOException {
        for (int i = 0; i < PORTS; i++) {
            boolean drains = i % DRAINING_ONE_OF == 0;
            Peer.Server server =
                    new Peer.Server(
                            0,
                            peer -> {
                                while (true) {
                                    Peer.Message job = peer.message();
                                    if (drains) {
                                        countJobAtDraining(job.field("X-Correlation-Id"));
                                    }
                                    Thread.sleep(WORK_MS);
                                    SERVE.on(peer, job);
                                }
                            });
            servers.add(server);
        }
        int first = servers.size() - PORTS;
        for (int i = 0; i < WORKERS; i++) {
            entries.add(
                    FleetConfig.entry(
                            "worker-" + i, i / PORTS, servers.get(first + i % PORTS).port(), "k"));
        }
    }

    private void countJobAtDraining(String id) {
        jobsAtDraining.incrementAndGet();
        int sender = Integer.parseInt(id.substring(1, id.indexOf('-')));
        long drainNs = notifiedNs.get(sender);
        long afterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - drainNs);
        if (drainNs != 0 && afterMs > DRAINED_MS) {
            lateJobsAtDraining.incrementAndGet();
            System.out.println(
                    id
                            + " came to a worker that drains "
                            + afterMs
                            + " ms after its scheduler was told");
        }
    }

    /** Starts the discovery server of one process and returns its port. */
    private int discoveryOf(int number) throws IOException {
        Peer.Server server =
                new Peer.Server(
                        0,
                        peer -> {
                            watches.add(peer.message().first());
                            peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                            int sent = 0;
                            for (int i = 0; true; i++) {
                                if (listUpdates.size() > sent) {
                                    peer.chunk(listUpdates.get(sent++));
                                    notifiedNs.compareAndSet(number, 0, System.nanoTime());
                                }
                                if (i % 25 == 0) {
                                    peer.chunk("");
                                }
                                Thread.sleep(20);
                            }
                        });
        servers.add(server);
        return server.port();
    }

    private List<String> drainingEntries() {
        List<String> changed = new ArrayList<>();
        for (int i = 0; i < WORKERS; i += DRAINING_ONE_OF) {
            changed.add(entries.get(i).replace("ready", "draining"));
        }
        return changed;
    }

    private int nextFreePort() {
        int port = ports.isEmpty() ? FIRST_PORT : ports.get(ports.size() - 1) + 1;
        while (!isFree(port)) {
            port++;
        }
        return port;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Starts {@code count} processes at once; returns in sorted order the seconds after which each
     * was ready.
     */
    private double[] start(int count, String registryMode, List<Integer> discoveries)
            throws Exception {
        String known = list(7, true, entries.toArray(String[]::new));
        List<Path> files = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int port = nextFreePort();
            ports.add(port);
            files.add(
                    new FleetConfig(count, i, registryMode, "piggyback", 1_024, 4)
                            .write(
                                    Files.createDirectory(dir.resolve("n" + i)),
                                    port,
                                    discoveries.get(i),
                                    known,
                                    ""));
        }
        long before = System.nanoTime();
        for (Path file : files) {
            programs.add(Program.deployed(file, Map.of()));
        }
        double[] ready = new double[count];
        int left = count;
        while (left > 0 && System.nanoTime() - before < START_TIMEOUT_NS) {
            for (int i = 0; i < count; i++) {
                if (ready[i] == 0 && programs.get(i).output().contains("listens on")) {
                    ready[i] = (System.nanoTime() - before) / 1e9;
                    left--;
                }
            }
            Thread.sleep(10);
        }
        for (int i = 0; i < count && left > 0; i++) {
            if (ready[i] == 0) {
                ready[i] = Double.POSITIVE_INFINITY;
                System.out.println("never ready: " + programs.get(i).output());
            }
        }
        Arrays.sort(ready);
        return ready;
    }

    private String resources() throws IOException {
        long most = 0;
        long sum = 0;
        long threads = 0;
        int sockets = 0;
        Duration cpu = Duration.ZERO;
        for (Program each : programs.stream().filter(Program::isAlive).toList()) {
            most = Math.max(most, each.peakResidentMb());
            sum += each.residentMb();
            threads = Math.max(threads, each.threads());
            sockets = Math.max(sockets, each.sockets());
            cpu = cpu.plus(each.cpuTime());
        }
        return String.format(
                "memory: largest ever %d MB, %d MB in all; most threads %d, most sockets %d; CPU"
                        + " %.1f s",
                most, sum, threads, sockets, cpu.toMillis() / 1e3);
    }

    private static String spread(double[] sorted) {
        return String.format(
                "median %.2f, nine in ten %.2f, last %.2f",
                sorted[sorted.length / 2],
                sorted[sorted.length * 9 / 10 - 1],
                sorted[sorted.length - 1]);
    }

    @ParameterizedTest
    @ValueSource(strings = {"on_request", "pushed"})
    void startsAHundredAtOnceWithoutDiscovery(String registryMode) throws Exception {
        startWorkers();
        double[] ready = start(STARTS, registryMode, Collections.nCopies(STARTS, deadPort()));
        System.out.println(
                STARTS
                        + " starts, "
                        + registryMode
                        + ": ready after s: "
                        + spread(ready)
                        + "; "
                        + resources());
    }

    private void client(int number) {
        List<Outcome> mine = new ArrayList<>();
        outcomes.put(number, mine);
        for (int i = 0; !over; i++) {
            long before = System.nanoTime();
            int status;
            try (Peer peer = Peer.connect(ports.get(number))) {
                String lane = i % 2 == 0 ? "read" : "submit";
                status =
                        peer.send(requestText("c" + number + "-" + i, lane, "2000m"))
                                .message()
                                .status();
            } catch (IOException e) {
                status = 0;
            }
            mine.add(new Outcome(status, (System.nanoTime() - before) / 1e6));
            try {
                Thread.sleep(PAUSE_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Test
    void servesFromFourHundredWorkersWithAHundredAndTwenty() throws Exception {
        startWorkers();
        List<Integer> discoveries = new ArrayList<>();
        for (int i = 0; i < PROCESSES; i++) {
            discoveries.add(discoveryOf(i));
        }
        double[] ready = start(PROCESSES, "on_request", discoveries);
        System.out.println(
                PROCESSES + " starts: ready after s: " + spread(ready) + "; " + resources());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < PROCESSES; i++) {
            int number = i;
            clients.add(new Thread(() -> client(number)));
        }
        clients.forEach(Thread::start);
        Thread.sleep(LOAD_MS / 2);
        listUpdates.add(list(8, false, drainingEntries().toArray(String[]::new)));
        Thread.sleep(LOAD_MS / 2);
        over = true;
        for (Thread each : clients) {
            each.join();
        }
        List<Outcome> all = outcomes.values().stream().flatMap(List::stream).toList();
        double[] times =
                all.stream()
                        .filter(e -> e.status() == 200)
                        .mapToDouble(Outcome::ms)
                        .sorted()
                        .toArray();
        System.out.println(
                all.size()
                        + " queries: served "
                        + times.length
                        + ", turned away "
                        + all.stream().filter(e -> e.status() == 503 || e.status() == 429).count()
                        + ", failed "
                        + all.stream().filter(e -> e.status() == 502 || e.status() == 504).count()
                        + ", no answer "
                        + all.stream().filter(e -> e.status() == 0).count()
                        + "; served after ms: "
                        + spread(times)
                        + "; watches "
                        + watches.size()
                        + "; at workers that drain "
                        + jobsAtDraining
                        + ", of these later than the grace "
                        + lateJobsAtDraining);
        System.out.println(resources());
    }
}
