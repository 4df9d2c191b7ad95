package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.DeployFile;
import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** More than a thousand workers and schedulers, under the limits that the deploy file sets. */
class LargeListTest extends PlatformStage {
    private static final int WORKERS = 1_100;
    private static final FleetConfig FLEET =
            new FleetConfig(1_024, 1_023, "on_request", "piggyback", 1_024, 60);

    /** Workers share this many ports: only the length of the list matters here. */
    private static final int PORTS = 8;

    private static final int ID_LENGTH = 60;

    /** A restarted scheduler must be ready within this time on the shorter days of operation. */
    private static final long READY_NS = TimeUnit.SECONDS.toNanos(6);

    /**
     * Memory of the smallest machine that {@code run} was ever given; on the scored days the
     * largest had 192 MB.
     */
    private static final long MACHINE_MB = 144;

    /**
     * What the JVM and one selector need, with a wide margin, and far below one thread per worker.
     */
    private static final int MAX_THREADS = 40;

    /**
     * So many complete lists would fill the heap several times over if their memory were not freed.
     */
    private static final int COMPLETE_LISTS = 100;

    /**
     * The fewest descriptors that the program accepts; {@link #PROBES} probes would need more
     * connections than that.
     */
    private static final int FEW_SOCKETS = 128;

    private static final int PROBES = 130;

    /** The drain grace of the settings, with a margin. */
    private static final long DRAIN_MS = 600;

    /** Each job probes four workers, most of them over a connection that has to be opened. */
    private static final int MAX_ROUNDS = 20;

    private final List<String> shared = new ArrayList<>();
    private final int console = Program.freePort();
    private final int second = Program.freePort();
    private String goes;
    private String stays;

    @BeforeEach
    void workers() throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < PORTS; i++) {
            ports.add(worker("shared-" + i));
        }
        for (int i = 0; i < WORKERS - 2; i++) {
            shared.add(FleetConfig.entry(longId(i), i, ports.get(i % PORTS), "k"));
        }
        goes = FleetConfig.entry("goes", 0, worker("goes"), "special");
        stays = FleetConfig.entry("stays", 0, worker("stays"), "special");
    }

    private int worker(String id) throws IOException {
        worker(
                id,
                (peer, job) -> {
                    if (job.first().startsWith("GET")) {
                        peer.send(
                                "HTTP/1.1 200 OK\r\n"
                                        + "X-Backend-Load: TEXT x0=3\r\n"
                                        + "Content-Length: 0\r\n\r\n");
                    } else {
                        SERVE.on(peer, job);
                    }
                });
        return servers.get(servers.size() - 1).port();
    }

    private static String longId(int number) {
        String id = "worker-" + number + "-";
        return id + "x".repeat(ID_LENGTH - id.length());
    }

    private String completeList(int generation, String... last) {
        List<String> entries = new ArrayList<>(shared);
        entries.addAll(List.of(last));
        return FleetConfig.indentedList(generation, true, entries);
    }

    private void serve(String lane, int count, String name) throws IOException {
        for (int i = 0; i < count; i++) {
            assertEquals(200, exchange(requestText(name + i, lane, "4000m")).status(), name + i);
        }
    }

    private List<String> console(String line) {
        try (Peer peer = Peer.connect(console).send(line + "\n")) {
            List<String> told = new ArrayList<>();
            for (String next = peer.line(); next != null && !next.equals("."); next = peer.line()) {
                told.add(next);
            }
            return told;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private int counter(String name) {
        return console("counters").stream()
                .filter(line -> line.startsWith(name))
                .mapToInt(line -> Integer.parseInt(line.substring(name.length()).strip()))
                .sum();
    }

    private void awaitTargets(int count) {
        Program.await(
                count + " workers",
                () -> call(second, "STATS").contains("router.targets:" + count + "|g"));
    }

    private void startWithLimits(FleetConfig fleet) throws IOException {
        Path config =
                fleet.write(
                        dir, port, discovery.port(), completeList(7, goes, stays), mgmt(second));
        long before = System.nanoTime();
        program =
                new Program(
                                config,
                                Map.of("DAMSONSLIP_CONSOLE", "127.0.0.1:" + console),
                                DeployFile.jvmFlags(),
                                "serve")
                        .awaitOutput("listens on");
        long elapsedNs = System.nanoTime() - before;
        assertTrue(elapsedNs < READY_NS, "ready after " + elapsedNs / 1_000_000 + " ms");
        assertTrue(program.output().contains(WORKERS + " workers known"), program.output());
        Program.await("a watch", () -> watches.size() == 1);
    }

    /**
     * The stored list, the complete list and its changes are applied without truncation, and a
     * drain is observed.
     */
    @Test
    void servesFromAndDrainsElevenHundredWorkers() throws Exception {
        startWithLimits(FLEET);
        serve("read", 20, "kept");
        listUpdates.add(completeList(8, goes, stays, goes.replace("\"goes\"", "\"more\"")));
        awaitTargets(WORKERS + 1);
        serve("submit", 20, "whole");
        serve("special", 20, "before");
        assertTrue(
                jobs("goes") > 0 && jobs("stays") > 0,
                "both workers serve the class that is bound to them");
        assertEquals(WORKERS + 2, console("workers").size(), "one line per worker and a header");
        listUpdates.add(
                FleetConfig.indentedList(
                        9,
                        false,
                        List.of(
                                goes.replace("ready", "draining"),
                                goes.replace("\"goes\"", "\"more\"").replace("ready", "gone"))));
        Thread.sleep(DRAIN_MS);
        int drained = jobs("goes");
        int before = jobs("stays");
        serve("special", 20, "after");
        assertEquals(drained, jobs("goes"), "a draining worker gets no job");
        assertEquals(before + 20, jobs("stays"));
        awaitTargets(WORKERS);
    }

    /**
     * The memory of a list is freed: many lists, while jobs are served, fit on the smallest
     * machine.
     */
    @Test
    void manyCompleteListsFitOnTheSmallestMachine() throws Exception {
        startWithLimits(FLEET);
        Program.await("the watch's first update", () -> counter("list_updates") == 1);
        for (int i = 0; i < COMPLETE_LISTS; i++) {
            listUpdates.add(
                    i % 2 == 0 ? completeList(8 + i, goes) : completeList(8 + i, goes, stays));
            serve("submit", 2, "list" + i + "-");
        }
        Program.await("all lists are applied", () -> counter("list_updates") == COMPLETE_LISTS + 1);
        awaitTargets(WORKERS);
        assertFalse(program.output().contains("OutOfMemoryError"), program.output());
        assertTrue(program.peakResidentMb() < MACHINE_MB, program.peakResidentMb() + " MB");
        assertTrue(program.threads() < MAX_THREADS, program.threads() + " threads");
    }

    /**
     * When workers are probed, the number of connections is bounded by the descriptors and not by
     * the list.
     */
    @Test
    void limitsConnectionsToElevenHundredWorkersByDescriptors() throws Exception {
        startWithLimits(FLEET.withProbes().withSockets(FEW_SOCKETS));
        for (int i = 0;
                i == 0 || counter("server_links_opened") < PROBES;
                i++) { // each job probes some workers
            serve("read", 20, "read" + i + "-");
            serve("submit", 20, "submit" + i + "-");
            assertTrue(i < MAX_ROUNDS, "connections to many workers are opened");
        }
        assertTrue(counter("probes_sent") >= PROBES);
        assertTrue(program.sockets() < FEW_SOCKETS, program.sockets() + " sockets");
    }
}
