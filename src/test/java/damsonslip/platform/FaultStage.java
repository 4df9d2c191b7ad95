package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import damsonslip.testkit.Program;
import damsonslip.tools.lab.soak.FaultControl;
import damsonslip.tools.lab.soak.FaultLibrary;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.BeforeEach;

/**
 * Runs the real program with the preloaded fault library, which makes system calls fail, be
 * interrupted or take long.
 */
abstract class FaultStage extends PlatformStage {
    static final int CLIENTS = 60;

    FaultControl faults;
    Path configuration;

    @BeforeEach
    void preload() throws IOException, InterruptedException {
        Optional<Path> library =
                FaultLibrary.build(FaultLibrary.SOURCE, Path.of("target", "faults"));
        assumeTrue(library.isPresent(), "this machine has no C compiler");
        faults = new FaultControl(library.get(), dir);
    }

    void startWithFaults(String... entries) throws IOException {
        Map<String, String> environment = new HashMap<>(faults.environment());
        environment.put("DAMSONSLIP_CONSOLE", "127.0.0.1:" + console);
        configuration = config(list(7, true, entries));
        program =
                new Program(configuration, environment, List.of(), "serve")
                        .awaitOutput("listens on");
        Program.await(
                "the console counts a list update", () -> hasCounter("list_updates"), program);
    }

    /** The status of the only request on a new connection, or the error. */
    private String outcome(String id) {
        try {
            return Integer.toString(exchange(requestText(id, "read", "4000m")).status());
        } catch (IOException | RuntimeException e) {
            return e.toString();
        }
    }

    List<String> outcomesOfNewConnections(int count)
            throws InterruptedException, ExecutionException {
        ExecutorService clients = Executors.newFixedThreadPool(10);
        try {
            List<Future<String>> asked = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String id = "c" + i;
                asked.add(clients.submit(() -> outcome(id)));
            }
            List<String> outcomes = new ArrayList<>();
            for (Future<String> next : asked) {
                outcomes.add(next.get());
            }
            return outcomes;
        } finally {
            clients.shutdownNow();
        }
    }

    static void assertAllAnswered(List<String> outcomes) {
        outcomes.removeIf(status -> status.equals("200") || status.equals("503"));
        assertTrue(
                outcomes.isEmpty(),
                outcomes.size()
                        + " without an answer, the first: "
                        + outcomes.stream().findFirst());
    }
}
