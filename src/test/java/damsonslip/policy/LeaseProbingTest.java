package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.actionsOfType;
import static damsonslip.policy.ScriptedScheduler.jobClass;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.worker;
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
 * While no worker list is valid, jobs are sent only to workers to which a probe has granted a
 * lease.
 */
class LeaseProbingTest {
    /** Time after which the list of a lost watch has expired: it is valid for 6.35 s. */
    private static final long LIST_EXPIRY_US = 7 * SECOND;

    /** Duration of a lease: the drain grace less the send margin. */
    private static final long LEASE_US = 350_000;

    private final ScriptedScheduler scheduler = new ScriptedScheduler(settings());

    private static Settings settings() {
        return ScriptedScheduler.settings(
                        1,
                        0,
                        List.of(),
                        true,
                        jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS))
                .withProbesReportingDraining();
    }

    /** Lists two workers, loses the watch and fails all polls until the list has expired. */
    private void loseWorkerList() {
        scheduler.updateWorkerList(WorkerListChange.CACHED, worker("a"), worker("b"));
        scheduler.updateWorkerList(WorkerListChange.COMPLETE, worker("a"), worker("b"));
        scheduler.handle(new WorkerListUpdate(WorkerListChange.FAILED, List.of(), scheduler.now));
        long end = scheduler.now + LIST_EXPIRY_US;
        while (scheduler.now < end) {
            if (!actionsOfType(scheduler.advance(SECOND / 10), WatchWorkerList.class).isEmpty()) {
                scheduler.handle(
                        new WorkerListUpdate(WorkerListChange.FAILED, List.of(), scheduler.now));
            }
        }
    }

    private static String probedWorker(List<Action> actions) {
        List<ProbeWorker> probes = actionsOfType(actions, ProbeWorker.class);
        return probes.isEmpty() ? null : probes.get(0).worker();
    }

    private List<Action> probeEnds(String worker, ProbeResult result) {
        return scheduler.handle(new ProbeEnded(worker, result, null));
    }

    @Test
    void sendsToWorkerWhoseProbeIsHealthy() {
        loseWorkerList();
        List<Action> first = scheduler.jobArrives("j1");
        assertNull(sentTo(first, "j1"), "no worker has a lease");
        String probed = probedWorker(first);
        assertNotNull(probed);
        scheduler.advance(LEASE_US / 2);
        assertEquals(probed, sentTo(probeEnds(probed, ProbeResult.HEALTHY_THROUGHOUT), "j1"));
    }

    /** The drain grace may have started when the probe was sent. */
    @Test
    void startsLeaseWhenTheProbeWasSent() {
        loseWorkerList();
        String probed = probedWorker(scheduler.jobArrives("j1"));
        scheduler.advance(LEASE_US - 10_000);
        probeEnds(probed, ProbeResult.HEALTHY_THROUGHOUT);
        assertTrue(scheduler.policy.mayUse(probed, scheduler.now));
        assertFalse(scheduler.policy.mayUse(probed, scheduler.now + 10_000));
        scheduler.advance(20_000);
        assertNull(sentTo(scheduler.jobArrives("j2"), "j2"));
    }

    @Test
    void grantsNoLeaseForLateResponse() {
        loseWorkerList();
        String probed = probedWorker(scheduler.jobArrives("j1"));
        scheduler.advance(LEASE_US);
        assertNull(sentTo(probeEnds(probed, ProbeResult.HEALTHY_THROUGHOUT), "j1"));
    }

    @Test
    void probesNextWorkerAfterUnhealthyOne() {
        loseWorkerList();
        String probed = probedWorker(scheduler.jobArrives("j1"));
        List<Action> after = probeEnds(probed, ProbeResult.UNHEALTHY);
        assertNull(sentTo(after, "j1"));
        String other = probedWorker(after);
        assertNotNull(other);
        assertFalse(probed.equals(other));
        assertEquals(other, sentTo(probeEnds(other, ProbeResult.HEALTHY_THROUGHOUT), "j1"));
    }

    /** An unreachable worker may have been restarted and be warming up. */
    @Test
    void waitsForWorkerListAfterWorkerWasUnreachable() {
        loseWorkerList();
        String probed = probedWorker(scheduler.jobArrives("j1"));
        String other = probedWorker(probeEnds(probed, ProbeResult.UNREACHABLE));
        probeEnds(other, ProbeResult.UNREACHABLE);
        List<Action> all = new ArrayList<>(scheduler.advance(3 * SECOND));
        all.addAll(scheduler.jobArrives("j2"));
        assertTrue(actionsOfType(all, ProbeWorker.class).isEmpty());
        assertEquals(
                1,
                actionsOfType(all, Reject.class).stream()
                        .filter(rejection -> rejection.job().equals("j2"))
                        .count(),
                "no worker may be probed, so the job is rejected at once");
        scheduler.updateWorkerList(WorkerListChange.CHANGES);
        assertNotNull(sentTo(scheduler.jobArrives("j3"), "j3"), "a list shows restarts");
    }

    /** A new connection does not show whether the worker was restarted or removed meanwhile. */
    @ParameterizedTest
    @EnumSource(
            value = ProbeResult.class,
            names = {"HEALTHY", "NO_LASTING_CONNECTION"})
    void grantsLeaseOnlyOverLastingConnection(ProbeResult result) {
        loseWorkerList();
        String probed = probedWorker(scheduler.jobArrives("j1"));
        assertNull(sentTo(probeEnds(probed, result), "j1"));
        assertFalse(scheduler.policy.mayUse(probed, scheduler.now));
    }

    /** The longer an outage lasts, the more has changed that workers cannot know. */
    @Test
    void stopsProbingLongAfterTheLastContactWithDiscovery() {
        loseWorkerList();
        scheduler.advance(20 * SECOND);
        List<Action> at = scheduler.jobArrives("j1");
        assertNull(probedWorker(at));
        assertEquals(1, actionsOfType(at, Reject.class).size());
    }

    @Test
    void endsLeaseWhenAnAttemptIsReset() {
        loseWorkerList();
        String probed = probedWorker(scheduler.jobArrives("j1"));
        probeEnds(probed, ProbeResult.HEALTHY_THROUGHOUT);
        assertTrue(scheduler.policy.mayUse(probed, scheduler.now));
        scheduler.attemptEnds("j1", 0, AttemptOutcome.RESET);
        assertFalse(scheduler.policy.mayUse(probed, scheduler.now));
    }

    /** The response may come from the process that ran before the connection was lost. */
    @Test
    void grantsNoLeaseAfterLostConnection() {
        loseWorkerList();
        String probed = probedWorker(scheduler.jobArrives("j1"));
        scheduler.handle(new ConnectionLost(probed));
        assertNull(sentTo(probeEnds(probed, ProbeResult.HEALTHY_THROUGHOUT), "j1"));
        assertFalse(scheduler.policy.mayUse(probed, scheduler.now));
    }

    /** A restart closes idle connections, and only a list shows that the worker is warming up. */
    @Test
    void doesNotProbeWorkerWhoseIdleConnectionBroke() {
        loseWorkerList();
        scheduler.handle(new ConnectionLost("a"));
        scheduler.handle(new ConnectionLost("b"));
        List<Action> at = scheduler.jobArrives("j1");
        assertNull(probedWorker(at));
        assertEquals(1, actionsOfType(at, Reject.class).size());
    }

    /** Data was received from discovery after the loss, so the last list would show a restart. */
    @Test
    void probesWorkerWhoseConnectionBrokeBeforeTheLastList() {
        scheduler.updateWorkerList(WorkerListChange.CACHED, worker("a"), worker("b"));
        scheduler.updateWorkerList(WorkerListChange.COMPLETE, worker("a"), worker("b"));
        scheduler.handle(new ConnectionLost("a"));
        scheduler.handle(new ConnectionLost("b"));
        scheduler.advance(SECOND);
        loseWorkerList();
        assertNotNull(probedWorker(scheduler.jobArrives("j1")));
    }

    @Test
    void probesOneWorkerAtATimeForAJob() {
        loseWorkerList();
        List<Action> all = new ArrayList<>(scheduler.jobArrives("j1"));
        all.addAll(scheduler.advance(LEASE_US));
        assertEquals(1, actionsOfType(all, ProbeWorker.class).size());
    }

    /** A probe that this machine could not send says nothing about the worker. */
    @Test
    void probesAgainWhenAProbeWasNotSent() {
        loseWorkerList();
        String probed = probedWorker(scheduler.jobArrives("j1"));
        String other = probedWorker(probeEnds(probed, ProbeResult.NOT_SENT));
        probeEnds(other, ProbeResult.NOT_SENT);
        String again = probedWorker(scheduler.advance(SECOND / 5));
        assertNotNull(again);
        assertEquals(again, sentTo(probeEnds(again, ProbeResult.HEALTHY_THROUGHOUT), "j1"));
    }

    @Test
    void doesNotProbeWhileTheListIsValid() {
        scheduler.updateWorkerList(WorkerListChange.CACHED, worker("a"), worker("b"));
        scheduler.updateWorkerList(WorkerListChange.COMPLETE, worker("a"), worker("b"));
        assertNotNull(sentTo(scheduler.jobArrives("j1"), "j1"));
        assertTrue(actionsOfType(scheduler.actions, ProbeWorker.class).isEmpty());
    }

    /**
     * A new process may have an old list: a zone that failed may recover with its schedulers and
     * with healthy workers that discovery has removed meanwhile.
     */
    @Test
    void doesNotProbeOwnZoneBeforeTheFirstList() {
        scheduler.updateWorkerList(WorkerListChange.CACHED, worker("a"), worker("b"));
        List<Action> all = new ArrayList<>(scheduler.jobArrives("j1"));
        all.addAll(scheduler.advance(SECOND));
        scheduler.handle(new WorkerListUpdate(WorkerListChange.FAILED, List.of(), scheduler.now));
        scheduler.advance(LIST_EXPIRY_US);
        all.addAll(scheduler.jobArrives("j2"));
        assertTrue(actionsOfType(all, ProbeWorker.class).isEmpty());
        assertNull(sentTo(all, "j2"));
    }

    /** A worker of another zone did not fail together with this scheduler. */
    @Test
    void probesOtherZonesBeforeTheFirstList() {
        scheduler.updateWorkerList(
                WorkerListChange.CACHED,
                worker("a"),
                worker("far", 1, 0, WorkerStatus.RUNNING, Long.MIN_VALUE));
        assertEquals("far", probedWorker(scheduler.jobArrives("j1")));
        assertEquals("far", sentTo(probeEnds("far", ProbeResult.HEALTHY), "j1"));
        assertFalse(scheduler.policy.mayUse("a", scheduler.now));
    }

    /**
     * A scheduler may be cut off from discovery together with workers that were removed meanwhile.
     */
    @Test
    void doesNotProbeWhenDiscoveryWasUnreachable() {
        loseWorkerList();
        scheduler.handle(
                new WorkerListUpdate(WorkerListChange.UNREACHABLE, List.of(), scheduler.now));
        scheduler.advance(LIST_EXPIRY_US);
        scheduler.handle(new WorkerListUpdate(WorkerListChange.FAILED, List.of(), scheduler.now));
        assertTrue(actionsOfType(scheduler.jobArrives("j1"), ProbeWorker.class).isEmpty());
    }

    /** Probes that do not report draining grant no lease. */
    @ParameterizedTest
    @EnumSource(ProbeResult.class)
    void sendsNothingWhereProbesDoNotShowDraining(ProbeResult result) {
        ScriptedScheduler other =
                new ScriptedScheduler(
                        ScriptedScheduler.settings(
                                1,
                                0,
                                List.of(),
                                true,
                                jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
        other.updateWorkerList(WorkerListChange.CACHED, worker("a"));
        other.updateWorkerList(WorkerListChange.COMPLETE, worker("a"));
        other.handle(new WorkerListUpdate(WorkerListChange.FAILED, List.of(), other.now));
        other.now += LIST_EXPIRY_US;
        other.handle(new ProbeEnded("a", result, null));
        List<Action> at = other.jobArrives("j1");
        assertNull(sentTo(at, "j1"));
        assertEquals(1, actionsOfType(at, Reject.class).size());
    }
}
