package damsonslip.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.engine.FatalErrors;
import damsonslip.testkit.ChildProcess;
import org.junit.jupiter.api.Test;

/** Guards against a process whose selector has stopped, which would keep its port and be silent. */
class SelectorMonitorTest {
    private static final int CHECKS = 200;

    /** A process whose selector answers up to a check, and not from then on. */
    static final class StoppedSelector {
        public static void main(String[] args) {
            int answeredChecks = Integer.parseInt(args[0]);
            SelectorMonitor monitor = new SelectorMonitor();
            for (int i = 0; i < CHECKS; i++) {
                boolean answers = i < answeredChecks;
                monitor.check(
                        task -> {
                            if (answers) {
                                task.run();
                            }
                        });
            }
        }
    }

    @Test
    void endsProcessWhoseSelectorHasStopped() throws Exception {
        assertEquals(FatalErrors.EXIT_CODE, ChildProcess.run(StoppedSelector.class, "3"));
    }

    @Test
    void leavesProcessWhoseSelectorAnswers() throws Exception {
        assertEquals(0, ChildProcess.run(StoppedSelector.class, String.valueOf(CHECKS)));
    }
}
