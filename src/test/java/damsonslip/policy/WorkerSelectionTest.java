package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.IDEMPOTENT;
import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.settings;
import static damsonslip.policy.ScriptedScheduler.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Selects the worker for a job by affinity, zone and free slots. */
class WorkerSelectionTest {
    /**
     * Guards against spreading each affinity key over many workers, which evicts data from their
     * caches.
     */
    @Test
    void keepsAffinityKeyOnItsWorker() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(1, 0, IDEMPOTENT)).workers(12);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            String id = "job" + i;
            used.add(sentTo(scheduler.jobArrives(id, 0, 0, 77L), id));
            scheduler.advance(SECOND / 4);
            scheduler.attemptEnds(id, 0, AttemptOutcome.SERVED);
        }
        assertEquals(1, used.size(), used.toString());
    }

    /** The expected waiting time is weighed against the price of crossing zones. */
    @ParameterizedTest
    @CsvSource({"0.1,near", "0.02,far", "0,far"})
    void crossesZonesWhereThatIsCheap(double zonePrice, String used) {
        ScriptedScheduler scheduler =
                new ScriptedScheduler(settings(1, 0, List.of(), false, zonePrice, IDEMPOTENT));
        scheduler.updateWorkerList(
                WorkerListChange.CACHED,
                worker("near", 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE),
                worker("far", 1, 0, WorkerStatus.RUNNING, Long.MIN_VALUE));
        scheduler.advance(2 * SECOND);
        for (int i = 0; i < 3; i++) { // three of four slots of the near worker are in use
            scheduler.handle(
                    new JobArrived(
                            "j" + i,
                            0,
                            0,
                            null,
                            scheduler.now + 10 * SECOND,
                            1,
                            0,
                            Integer.MAX_VALUE,
                            "near"::equals));
            scheduler.attemptStarts("j" + i, 0);
        }
        assertEquals(used, sentTo(scheduler.jobArrives("x"), "x"));
    }

    /** A delayed load report still includes four jobs that have just ended. */
    @Test
    void countsEndedOwnJobsAsFreeDespiteLateReport() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(1, 0, IDEMPOTENT)).workers(1);
        scheduler.reportedFreeSlots = 0;
        for (String id : List.of("a", "b", "c", "d")) {
            assertEquals("w0", sentTo(scheduler.jobArrives(id), id));
            scheduler.attemptStarts(id, 0);
        }
        scheduler.advance(SECOND);
        for (String id : List.of("a", "b", "c", "d")) {
            scheduler.attemptEnds(id, 0, AttemptOutcome.SERVED);
        }
        assertEquals("w0", sentTo(scheduler.jobArrives("e"), "e"));
        assertEquals("w0", sentTo(scheduler.jobArrives("f"), "f"));
    }
}
