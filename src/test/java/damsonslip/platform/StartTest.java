package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Program;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a start must not spend its share of a core on. */
class StartTest extends PlatformStage {
    /**
     * Guards against lambda comparators and Jetty's security classes being loaded at the start:
     * code generated at run time cannot be archived, and it costs a restarting scheduler's clients
     * time.
     */
    @Test
    void startGeneratesNoCodeForThreadPoolsOrComparators() throws Exception {
        int managementPort = Program.freePort();
        program =
                new Program(
                                config(list(7, true, worker("a", SERVE)), mgmt(managementPort)),
                                List.of("-Xlog:class+load:stdout"),
                                "serve")
                        .awaitOutput("listens on");
        Program.await("ready", () -> call(managementPort, "READY").startsWith("YES"));
        List<String> loaded = program.output().lines().toList();
        assertTrue(
                loaded.stream()
                        .anyMatch(line -> line.contains(" damsonslip.policy.SchedulingPolicy ")),
                "loaded classes are logged");
        assertEquals(
                List.of(),
                loaded.stream()
                        .filter(
                                line ->
                                        line.contains("Comparator$$Lambda")
                                                || line.contains("jetty.util.security"))
                        .toList());
    }
}
