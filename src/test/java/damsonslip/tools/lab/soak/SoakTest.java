package damsonslip.tools.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A short soak of few processes; {@code lab soak} plays more and longer ones. */
class SoakTest {
    private static final int PROCESSES = 4;
    private static final long LENGTH_US = 8 * Clock.SECOND;
    private static final long SEED = 20;

    @TempDir Path dir;

    private Verdict play(SoakPlan plan) throws Exception {
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
                .play();
    }

    @Test
    void keepsTheRulesUnderOverlappingTroubles() throws Exception {
        Verdict verdict = play(new SoakPlan(SEED, PROCESSES, LENGTH_US, Set.of(), Set.of()));
        assertEquals(List.of(), verdict.findings());
        assertTrue(verdict.served() > 500, verdict.served() + " served");
    }

    @Test
    void drawsTheSameTroublesFromASeed() {
        SoakPlan one = new SoakPlan(7, PROCESSES, LENGTH_US, Set.of(), Set.of());
        SoakPlan again = new SoakPlan(7, PROCESSES, LENGTH_US, Set.of(), Set.of());
        assertEquals(one.troubles(), again.troubles());
        assertEquals(
                one.troubles().subList(1, one.troubles().size()),
                new SoakPlan(7, PROCESSES, LENGTH_US, Set.of(0), Set.of()).troubles());
    }
}
