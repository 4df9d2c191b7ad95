package damsonslip.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Program;
import org.junit.jupiter.api.Test;

/**
 * The command that the build runs to archive classes: if its requests are not served, it fails and
 * with it the build.
 */
class RehearsalTest {
    @Test
    void servesItsOwnRequestsAndExits() throws Exception {
        try (Program program = new Program(null, "rehearse")) {
            assertEquals(0, program.exit(), program.output());
            assertTrue(program.output().contains("rehearsal listens on"), program.output());
            assertTrue(
                    program.output().contains("reload: discovery is at"),
                    "classes for a reload are archived as well");
            assertTrue(
                    program.output().contains("counters queries_taken=3 "),
                    "classes for a shutdown are archived as well: " + program.output());
        }
    }
}
