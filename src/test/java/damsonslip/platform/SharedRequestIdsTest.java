package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an id that is served twice, once by each process of an upgrade: which of them a
 * client reaches is the kernel's choice, and each knew its own ids only.
 */
class SharedRequestIdsTest extends PlatformStage {
    private static final String FILE = "damsonslip-ids-1";
    private static final int REQUESTS = 5;
    private static final int COPIES = 12;
    private static final int CONFLICT = 409;
    private static final long RETRY_MS = 500;

    private static final Work SERVE_LATER =
            (peer, job) -> {
                Thread.sleep(500);
                SERVE.on(peer, job);
            };

    private final List<Program> programs = new ArrayList<>();
    private final int first = Program.freePort();
    private final int second = Program.freePort();

    @AfterEach
    void endAll() {
        programs.forEach(Program::close);
    }

    private Program start(int mgmt, String... entries) throws IOException {
        Program started =
                new Program(
                        config(list(7, true, entries), mgmt(mgmt)), Map.of(), List.of(), "serve");
        programs.add(started);
        return Program.await("it is ready", () -> call(mgmt, "READY").startsWith("YES"), started);
    }

    private Peer submit(String id) throws IOException {
        return Peer.connect(port).send(requestText(id, "submit", "4000m"));
    }

    private void assertEachIdRanOnce(int requests) {
        List<String> ran = new ArrayList<>(ids("w"));
        ran.removeIf(id -> id == null || !id.startsWith("q"));
        Collections.sort(ran);
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            expected.add("q" + i);
        }
        assertEquals(expected, ran);
    }

    @Test
    void copiesOfOpenRequestsAreRejectedByBothProcesses() throws Exception {
        String worker = worker("w", SERVE_LATER);
        start(first, worker);
        start(second, worker);
        List<Peer> clients = new ArrayList<>();
        List<Peer> copies = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            clients.add(submit("q" + i));
        }
        Program.await("one is at the worker", () -> jobs("w") > 0);
        for (int i = 0; i < REQUESTS * COPIES; i++) {
            copies.add(submit("q" + i % REQUESTS));
        }
        for (Peer copy : copies) {
            assertEquals(CONFLICT, copy.message().status());
        }
        for (Peer client : clients) {
            assertEquals(200, client.message().status());
        }
        assertEachIdRanOnce(REQUESTS);
    }

    @Test
    void newProcessKnowsIdsOfTheOldOneThatHasEnded() throws Exception {
        String worker = worker("w", SERVE);
        Program old = start(first, worker);
        assertEquals(200, submit("q0").message().status());
        start(second, worker);
        old.terminate();
        old.exit();
        assertEquals(CONFLICT, submit("q0").message().status());
        assertEachIdRanOnce(1);
    }

    /** The ids are shared as soon as there is room, also those of requests from before. */
    @Test
    void sharesIdsOnceTheFileCanBeWritten() throws Exception {
        Path inTheWay = Files.createDirectory(dir.resolve(FILE));
        String worker = worker("w", SERVE);
        Program old = start(first, worker);
        assertTrue(old.output().contains("request_ids_not_shared"), old.output());
        assertEquals(200, submit("q0").message().status());
        Files.delete(inTheWay);
        Program.await("the file is written", () -> Files.isRegularFile(inTheWay), old);
        Thread.sleep(RETRY_MS);
        start(second, worker);
        for (int i = 0; i < COPIES; i++) {
            assertEquals(CONFLICT, submit("q0").message().status());
        }
        assertEachIdRanOnce(1);
    }
}
