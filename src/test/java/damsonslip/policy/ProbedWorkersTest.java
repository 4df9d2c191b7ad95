package damsonslip.policy;

import static damsonslip.policy.Script.SECOND;
import static damsonslip.policy.Script.jobClass;
import static damsonslip.policy.Script.only;
import static damsonslip.policy.Script.sentTo;
import static damsonslip.policy.Script.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.ConnectionLost;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.ProbeEnded;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.ProbeWorker;
import damsonslip.policy.api.Reject;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.WatchWorkerList;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * What is sent while no list of discovery holds: nothing but to workers that have just said that
 * they take work.
 */
class ProbedWorkersTest {
    /**
     * The list of a watch that was lost holds for 6.35 s; discovery fails all calls from then on.
     */
    private static final long NO_LIST_US = 7 * SECOND;

    /** The grace of a drain, less what bytes need to leave. */
    private static final long LEASE_US = 350_000;

    private final Script script = new Script(settings());

    private static Settings settings() {
        return Script.settings(
                        1,
                        0,
                        List.of(),
                        true,
                        jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS))
                .withProbesReportingDraining();
    }

    /** Two workers whose list holds no more, and was heard until its watch was lost. */
    private void loseTheList() {
        script.list(WorkerListChange.KEPT, worker("a"), worker("b"));
        script.list(WorkerListChange.COMPLETE, worker("a"), worker("b"));
        script.give(new WorkerListUpdate(WorkerListChange.FAILED, List.of(), script.now));
        long end = script.now + NO_LIST_US;
        while (script.now < end) {
            if (!only(script.pass(SECOND / 10), WatchWorkerList.class).isEmpty()) {
                script.give(new WorkerListUpdate(WorkerListChange.FAILED, List.of(), script.now));
            }
        }
    }

    private static String probed(List<Action> actions) {
        List<ProbeWorker> probes = only(actions, ProbeWorker.class);
        return probes.isEmpty() ? null : probes.get(0).worker();
    }

    private List<Action> answers(String worker, ProbeResult result) {
        return script.give(new ProbeEnded(worker, result, null));
    }

    @Test
    void sendsToAWorkerThatSaysItTakesWork() {
        loseTheList();
        List<Action> first = script.job("j1");
        assertNull(sentTo(first, "j1"), "nobody vouches for its worker");
        String asked = probed(first);
        assertNotNull(asked);
        script.pass(LEASE_US / 2);
        assertEquals(asked, sentTo(answers(asked, ProbeResult.HEALTHY_THROUGHOUT), "j1"));
    }

    /** A drain that began when the probe was sent ends its grace so long after that. */
    @Test
    void aLeaseCountsFromTheProbeAndNotFromItsAnswer() {
        loseTheList();
        String asked = probed(script.job("j1"));
        script.pass(LEASE_US - 10_000);
        answers(asked, ProbeResult.HEALTHY_THROUGHOUT);
        assertTrue(script.rules.mayUse(asked, script.now));
        assertFalse(script.rules.mayUse(asked, script.now + 10_000));
        script.pass(20_000);
        assertNull(sentTo(script.job("j2"), "j2"));
    }

    @Test
    void anAnswerThatComesTooLateIsNoLease() {
        loseTheList();
        String asked = probed(script.job("j1"));
        script.pass(LEASE_US);
        assertNull(sentTo(answers(asked, ProbeResult.HEALTHY_THROUGHOUT), "j1"));
    }

    @Test
    void asksTheNextWorkerWhereOneSaysNo() {
        loseTheList();
        String asked = probed(script.job("j1"));
        List<Action> after = answers(asked, ProbeResult.UNHEALTHY);
        assertNull(sentTo(after, "j1"));
        String other = probed(after);
        assertNotNull(other);
        assertFalse(asked.equals(other));
        assertEquals(other, sentTo(answers(other, ProbeResult.HEALTHY_THROUGHOUT), "j1"));
    }

    /** Who was out of reach since discovery was heard may have started anew, and is cold then. */
    @Test
    void aWorkerThatWasOutOfReachWaitsForAList() {
        loseTheList();
        String asked = probed(script.job("j1"));
        String other = probed(answers(asked, ProbeResult.UNREACHABLE));
        answers(other, ProbeResult.UNREACHABLE);
        List<Action> all = new ArrayList<>(script.pass(3 * SECOND));
        all.addAll(script.job("j2"));
        assertTrue(only(all, ProbeWorker.class).isEmpty());
        assertEquals(
                1,
                only(all, Reject.class).stream()
                        .filter(refused -> refused.job().equals("j2"))
                        .count(),
                "nobody can be asked: it is answered at once");
        script.list(WorkerListChange.CHANGES);
        assertNotNull(sentTo(script.job("j3"), "j3"), "a list tells of restarts");
    }

    /**
     * A new connection does not tell whether its worker was started anew, or removed, meanwhile.
     */
    @ParameterizedTest
    @EnumSource(
            value = ProbeResult.class,
            names = {"HEALTHY", "NO_LASTING_CONNECTION"})
    void onlyAConnectionThatHasStoodSinceDiscoveryWasHeardGivesALease(ProbeResult result) {
        loseTheList();
        String asked = probed(script.job("j1"));
        assertNull(sentTo(answers(asked, result), "j1"));
        assertFalse(script.rules.mayUse(asked, script.now));
    }

    /** The longer an outage lasts, the more has changed that no worker can tell. */
    @Test
    void nobodyIsAskedLongAfterDiscoveryWasHeard() {
        loseTheList();
        script.pass(20 * SECOND);
        List<Action> at = script.job("j1");
        assertNull(probed(at));
        assertEquals(1, only(at, Reject.class).size());
    }

    @Test
    void aConnectionThatBreaksUnderAnAttemptEndsTheLease() {
        loseTheList();
        String asked = probed(script.job("j1"));
        answers(asked, ProbeResult.HEALTHY_THROUGHOUT);
        assertTrue(script.rules.mayUse(asked, script.now));
        script.ended("j1", 0, AttemptOutcome.RESET);
        assertFalse(script.rules.mayUse(asked, script.now));
    }

    /**
     * Which of the two came first cannot be told: the answer may be of the process before the
     * break.
     */
    @Test
    void anAnswerBehindABrokenConnectionIsNoLease() {
        loseTheList();
        String asked = probed(script.job("j1"));
        script.give(new ConnectionLost(asked));
        assertNull(sentTo(answers(asked, ProbeResult.HEALTHY_THROUGHOUT), "j1"));
        assertFalse(script.rules.mayUse(asked, script.now));
    }

    /**
     * A worker that starts anew breaks the connections that rest; it is cold then, which only a
     * list tells.
     */
    @Test
    void aRestingConnectionThatBreaksKeepsItsWorkerFromBeingAsked() {
        loseTheList();
        script.give(new ConnectionLost("a"));
        script.give(new ConnectionLost("b"));
        List<Action> at = script.job("j1");
        assertNull(probed(at));
        assertEquals(1, only(at, Reject.class).size());
    }

    /** Discovery was heard behind it: a list that still stands would tell of a start. */
    @Test
    void aConnectionThatBrokeBeforeDiscoveryWasLastHeardSaysNothing() {
        script.list(WorkerListChange.KEPT, worker("a"), worker("b"));
        script.list(WorkerListChange.COMPLETE, worker("a"), worker("b"));
        script.give(new ConnectionLost("a"));
        script.give(new ConnectionLost("b"));
        script.pass(SECOND);
        loseTheList();
        assertNotNull(probed(script.job("j1")));
    }

    @Test
    void aJobAsksOneWorkerAtATime() {
        loseTheList();
        List<Action> all = new ArrayList<>(script.job("j1"));
        all.addAll(script.pass(LEASE_US));
        assertEquals(1, only(all, ProbeWorker.class).size());
    }

    /** A probe that this machine cannot send says nothing of the worker, which is asked again. */
    @Test
    void asksAgainWhereAProbeCouldNotBeSent() {
        loseTheList();
        String asked = probed(script.job("j1"));
        String other = probed(answers(asked, ProbeResult.NOT_SENT));
        answers(other, ProbeResult.NOT_SENT);
        String again = probed(script.pass(SECOND / 5));
        assertNotNull(again);
        assertEquals(again, sentTo(answers(again, ProbeResult.HEALTHY_THROUGHOUT), "j1"));
    }

    /** While a list holds nobody is asked. */
    @Test
    void aListThatHoldsNeedsNoProbe() {
        script.list(WorkerListChange.KEPT, worker("a"), worker("b"));
        script.list(WorkerListChange.COMPLETE, worker("a"), worker("b"));
        assertNotNull(sentTo(script.job("j1"), "j1"));
        assertTrue(only(script.all, ProbeWorker.class).isEmpty());
    }

    /**
     * A process that has just started may have a list of long ago: a zone that was lost comes back
     * with its schedulers and its workers, which are well, and which discovery has removed
     * meanwhile.
     */
    @Test
    void aStartAsksNobodyUntilDiscoveryHasTold() {
        script.list(WorkerListChange.KEPT, worker("a"), worker("b"));
        List<Action> all = new ArrayList<>(script.job("j1"));
        all.addAll(script.pass(SECOND));
        script.give(new WorkerListUpdate(WorkerListChange.FAILED, List.of(), script.now));
        script.pass(NO_LIST_US);
        all.addAll(script.job("j2"));
        assertTrue(only(all, ProbeWorker.class).isEmpty());
        assertNull(sentTo(all, "j2"));
    }

    /**
     * A worker of another zone was not lost together with this scheduler, and answers for itself.
     */
    @Test
    void aStartAsksWorkersOfOtherZones() {
        script.list(
                WorkerListChange.KEPT,
                worker("a"),
                worker("far", 1, 0, WorkerStatus.RUNNING, Long.MIN_VALUE));
        assertEquals("far", probed(script.job("j1")));
        assertEquals("far", sentTo(answers("far", ProbeResult.HEALTHY), "j1"));
        assertFalse(script.rules.mayUse("a", script.now));
    }

    /**
     * Who was cut off from discovery may be cut off together with workers that it has removed
     * meanwhile.
     */
    @Test
    void whoCouldNotReachDiscoveryAsksNobody() {
        loseTheList();
        script.give(new WorkerListUpdate(WorkerListChange.UNREACHABLE, List.of(), script.now));
        script.pass(NO_LIST_US);
        script.give(new WorkerListUpdate(WorkerListChange.FAILED, List.of(), script.now));
        assertTrue(only(script.job("j1"), ProbeWorker.class).isEmpty());
    }

    /** Where probes tell nothing of drains, or a worker is told as draining, none counts. */
    @ParameterizedTest
    @EnumSource(ProbeResult.class)
    void whereProbesTellNothingOfDrainsNothingIsSent(ProbeResult result) {
        Script other =
                new Script(
                        Script.settings(
                                1,
                                0,
                                List.of(),
                                true,
                                jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
        other.list(WorkerListChange.KEPT, worker("a"));
        other.list(WorkerListChange.COMPLETE, worker("a"));
        other.give(new WorkerListUpdate(WorkerListChange.FAILED, List.of(), other.now));
        other.now += NO_LIST_US;
        other.give(new ProbeEnded("a", result, null));
        List<Action> at = other.job("j1");
        assertNull(sentTo(at, "j1"));
        assertEquals(1, only(at, Reject.class).size());
    }
}
