package damsonslip.tools.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A short soak with few processes; {@code lab soak} runs larger and longer ones. */
class SoakTest {
    private static final int PROCESSES = 4;
    private static final long LENGTH_US = 8 * Clock.SECOND;
    private static final long SEED = 20;

    @TempDir Path dir;

    private Verdict run(SoakPlan plan) throws Exception {
        Optional<Path> library =
                FaultLibrary.build(FaultLibrary.SOURCE, Path.of("target", "faults"));
        if (library.isEmpty()) {
            System.out.println("no C compiler: failing system calls are NOT RUN");
        }
        List<String> program =
                List.of(
                        "-Ddamsonslip.invariants=refuse",
                        "-cp",
                        System.getProperty(
                                "surefire.test.class.path", System.getProperty("java.class.path")),
                        "damsonslip.cli.Main");
        return new SoakRun(
                        plan, LENGTH_US, dir, library, new SchedulerProcess.Setup(dir, program, ""))
                .run();
    }

    @Test
    void keepsTheRulesUnderOverlappingFaults() throws Exception {
        Verdict verdict = run(new SoakPlan(SEED, PROCESSES, LENGTH_US, Set.of(), Set.of()));
        assertEquals(List.of(), verdict.findings());
        assertTrue(verdict.served() > 500, verdict.served() + " served");
    }

    @Test
    void derivesTheSameFaultsFromASeed() {
        SoakPlan one = new SoakPlan(7, PROCESSES, LENGTH_US, Set.of(), Set.of());
        SoakPlan again = new SoakPlan(7, PROCESSES, LENGTH_US, Set.of(), Set.of());
        assertEquals(one.faults(), again.faults());
        assertEquals(
                one.faults().subList(1, one.faults().size()),
                new SoakPlan(7, PROCESSES, LENGTH_US, Set.of(0), Set.of()).faults());
    }
}
