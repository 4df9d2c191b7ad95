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

/**
 * More than a thousand workers and schedulers, under the limits that the deploy file gives the
 * program.
 */
class LargeListTest extends PlatformStage {
    private static final int WORKERS = 1_100;
    private static final FleetConfig FLEET =
            new FleetConfig(1_024, 1_023, "on_request", "piggyback", 1_024, 60);

    /** Workers share so many ports: what counts here is the length of the list. */
    private static final int PORTS = 8;

    private static final int ID_LENGTH = 60;

    /** The operators' pages: a restarted scheduler is ready within this on the shorter days. */
    private static final long READY_NS = TimeUnit.SECONDS.toNanos(6);

    /**
     * The smallest machine that {@code run} was ever given has so much; the largest of the scored
     * days 192 MB.
     */
    private static final long MACHINE_MB = 144;

    /** What the JVM and one selector need, by a wide margin, and far below one for each worker. */
    private static final int MOST_THREADS = 40;

    /** So many whole lists would fill the heap several times over, if what they take were kept. */
    private static final int WHOLE_LISTS = 100;

    /**
     * The fewest descriptors that the program makes do with, and so many probes that their links
     * would need more.
     */
    private static final int FEW_SOCKETS = 128;

    private static final int PROBES = 130;

    /** The drain grace of the settings, and some more. */
    private static final long DRAIN_MS = 600;

    /** Jobs ask four workers each, most of them over a link that has to be opened. */
    private static final int MOST_ROUNDS = 20;

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

    private String whole(int generation, String... last) {
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
        Path config = fleet.write(dir, port, discovery.port(), whole(7, goes, stays), mgmt(second));
        long before = System.nanoTime();
        program =
                new Program(
                                config,
                                Map.of("DAMSONSLIP_CONSOLE", "127.0.0.1:" + console),
                                DeployFile.jvmFlags(),
                                "serve")
                        .awaitOutput("listens on");
        long took = System.nanoTime() - before;
        assertTrue(took < READY_NS, "ready after " + took / 1_000_000 + " ms");
        assertTrue(program.output().contains(WORKERS + " workers known"), program.output());
        Program.await("a watch", () -> watches.size() == 1);
    }

    /**
     * The list that was kept, the whole one and its changes are taken without a cut, and a drain is
     * kept.
     */
    @Test
    void elevenHundredWorkersAreKnownServedFromAndDrained() throws Exception {
        startWithLimits(FLEET);
        serve("read", 20, "kept");
        listUpdates.add(whole(8, goes, stays, goes.replace("\"goes\"", "\"more\"")));
        awaitTargets(WORKERS + 1);
        serve("submit", 20, "whole");
        serve("special", 20, "before");
        assertTrue(
                jobs("goes") > 0 && jobs("stays") > 0, "both take the class that is bound to them");
        assertEquals(WORKERS + 2, console("workers").size(), "a line for each, and the head");
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
        assertEquals(drained, jobs("goes"), "one that drains gets nothing");
        assertEquals(before + 20, jobs("stays"));
        awaitTargets(WORKERS);
    }

    /**
     * What a list takes is given back: many of them, while jobs are served, fit on the smallest
     * machine.
     */
    @Test
    void manyWholeListsStayWithinTheSmallestMachine() throws Exception {
        startWithLimits(FLEET);
        Program.await("the watch's first object", () -> counter("list_updates") == 1);
        for (int i = 0; i < WHOLE_LISTS; i++) {
            listUpdates.add(i % 2 == 0 ? whole(8 + i, goes) : whole(8 + i, goes, stays));
            serve("submit", 2, "list" + i + "-");
        }
        Program.await("all lists are taken", () -> counter("list_updates") == WHOLE_LISTS + 1);
        awaitTargets(WORKERS);
        assertFalse(program.output().contains("OutOfMemoryError"), program.output());
        assertTrue(program.peakResidentMb() < MACHINE_MB, program.peakResidentMb() + " MB");
        assertTrue(program.threads() < MOST_THREADS, program.threads() + " threads");
    }

    /**
     * Where workers are probed, links follow from the descriptors that there are, and not from the
     * list.
     */
    @Test
    void linksToElevenHundredWorkersKeepWithinTheDescriptors() throws Exception {
        startWithLimits(FLEET.withProbes().withSockets(FEW_SOCKETS));
        for (int i = 0;
                i == 0 || counter("server_links_opened") < PROBES;
                i++) { // each job asks some workers
            serve("read", 20, "read" + i + "-");
            serve("submit", 20, "submit" + i + "-");
            assertTrue(i < MOST_ROUNDS, "to many workers");
        }
        assertTrue(counter("probes_sent") >= PROBES);
        assertTrue(program.sockets() < FEW_SOCKETS, program.sockets() + " sockets");
    }
}
