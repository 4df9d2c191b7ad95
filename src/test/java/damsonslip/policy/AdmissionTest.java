package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.IDEMPOTENT;
import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.actionsOfType;
import static damsonslip.policy.ScriptedScheduler.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Reject;
import damsonslip.policy.api.Send;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Admits jobs by threshold and quota, and sends queued ones in order. */
class AdmissionTest {
    @Test
    void rejectsJobsOverTheThresholdAndReleasesQueuedOnesInOrder() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(1, 0, IDEMPOTENT)).workers(1);
        List<String> sent = new ArrayList<>();
        int rejected = 0;
        for (int i = 0; i < 60; i++) {
            List<Action> at = scheduler.jobArrives("job" + i);
            rejected += actionsOfType(at, Reject.class).size();
            actionsOfType(at, Send.class).forEach(send -> sent.add(send.job()));
        }
        assertEquals(4, sent.size(), "one worker of four slots");
        assertTrue(rejected > 30, rejected + " rejected");
        scheduler.advance(SECOND / 20);
        List<Action> after = scheduler.attemptEnds(sent.get(0), 0, AttemptOutcome.SERVED);
        List<Send> released = actionsOfType(after, Send.class);
        assertFalse(released.isEmpty());
        assertEquals("job4", released.get(0).job(), "the oldest queued job");
    }

    /**
     * Incident ifa450e: with jobs sent in arrival order under overload, all of them started just
     * too late.
     */
    @Test
    void rejectsLateQueuedJobWhileOthersWait() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(1, 0, IDEMPOTENT)).workers(1);
        for (int i = 0; i < 12; i++) {
            scheduler.jobArrives("job" + i);
        }
        int before = actionsOfType(scheduler.actions, Reject.class).size();
        scheduler.advance(2 * SECOND);
        assertTrue(actionsOfType(scheduler.actions, Reject.class).size() > before);
        assertEquals(4, actionsOfType(scheduler.actions, Send.class).size());
    }

    /** Guards against a tenant over its quota displacing jobs of tenants within theirs. */
    @Test
    void protectsTenantsWithinQuotaFromOneBeyondIt() {
        ScriptedScheduler scheduler =
                new ScriptedScheduler(settings(1, 0, List.of(5.0, 5.0), false, IDEMPOTENT))
                        .workers(2);
        int[] sent = new int[2];
        int handledActions = 0;
        List<String> inFlight = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            int tenant = i % 20 == 0 ? 1 : 0;
            scheduler.jobArrives(tenant + "-" + i, 0, tenant, null);
            scheduler.advance(SECOND / 100);
            if (i % 2 == 0 && !inFlight.isEmpty()) {
                scheduler.reportedFreeSlots = Math.max(0, 4 - inFlight.size() / 2.0);
                scheduler.attemptEnds(inFlight.remove(0), 0, AttemptOutcome.SERVED);
            }
            for (Send send :
                    actionsOfType(
                            scheduler.actions.subList(handledActions, scheduler.actions.size()),
                            Send.class)) {
                sent[send.job().charAt(0) - '0']++;
                inFlight.add(send.job());
                scheduler.attemptStarts(send.job(), 0);
            }
            handledActions = scheduler.actions.size();
        }
        assertTrue(sent[1] > 40, sent[1] + " of 50 jobs within the quota sent");
        assertTrue(sent[0] < 600, sent[0] + " of 950 jobs, mostly over the quota, sent");
    }
}
