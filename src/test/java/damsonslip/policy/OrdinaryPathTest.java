package damsonslip.policy;

import static damsonslip.policy.Script.SECOND;
import static damsonslip.policy.Script.jobClass;
import static damsonslip.policy.Script.only;
import static damsonslip.policy.Script.sentTo;
import static damsonslip.policy.Script.settings;
import static damsonslip.policy.Script.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Limits;
import damsonslip.policy.api.LoadReporting;
import damsonslip.policy.api.Reject;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Pools, admission, hold and release, and the answers to the failures found so far. */
class OrdinaryPathTest {
    private static final JobClass SAFE =
            jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS);

    /**
     * Sends jobs of both classes for a while, each served after a tenth of a second; where each
     * class went.
     */
    private static List<Set<String>> pools(Script script, int jobs) {
        List<Set<String>> used = List.of(new TreeSet<>(), new TreeSet<>());
        for (int i = 0; i < jobs; i++) {
            String id = "job" + i;
            String to = sentTo(script.job(id, i % 2, 0, null), id);
            if (to != null) {
                script.started(id, 0);
            }
            script.pass(SECOND / 10);
            if (to != null) {
                script.ended(id, 0, AttemptOutcome.SERVED);
                if (i > jobs / 2) {
                    used.get(i % 2).add(to);
                }
            }
        }
        return used;
    }

    @Test
    void eachClassKeepsToItsOwnPool() {
        List<Set<String>> used = pools(new Script(settings(1, 0, SAFE, SAFE)).workers(10), 600);
        assertEquals(5, used.get(0).size());
        assertEquals(5, used.get(1).size());
        assertTrue(used.get(0).stream().noneMatch(used.get(1)::contains));
    }

    @Test
    void allDispatchersDealAlikeWhateverTheOrderOfTheList() {
        Script one = new Script(settings(4, 0, SAFE, SAFE)).workers(8);
        Script other = new Script(settings(4, 3, SAFE, SAFE));
        List<WorkerEntry> reversed = new ArrayList<>();
        for (int i = 7; i >= 0; i--) {
            reversed.add(worker("w" + i));
        }
        other.list(WorkerListChange.COMPLETE, reversed.toArray(WorkerEntry[]::new));
        assertEquals(pools(one, 400), pools(other, 400));
    }

    @Test
    void everyClassIsServedByFewerWorkersThanClasses() {
        List<Set<String>> used = pools(new Script(settings(1, 0, SAFE, SAFE)).workers(1), 60);
        assertFalse(used.get(0).isEmpty());
        assertFalse(used.get(1).isEmpty());
    }

    @Test
    void aBoundClassKeepsToItsKind() {
        JobClass bound =
                new JobClass(
                        200_000,
                        2,
                        1,
                        Idempotency.IDEMPOTENT,
                        IdempotencyScope.ALL_WORKERS,
                        SECOND,
                        1);
        Script script =
                new Script(
                        new Settings(
                                1,
                                0,
                                0,
                                1,
                                2,
                                List.of(SAFE, bound),
                                List.of(),
                                new Limits(4, true, true, 0, 0),
                                new Guarantees(0, 0, 0, 0.5, SECOND, 3, SECOND),
                                LoadReporting.WITH_RESPONSES,
                                false,
                                true,
                                1_000));
        List<WorkerEntry> list = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            list.add(new WorkerEntry("w" + i, 0, 0, i % 2, WorkerStatus.RUNNING, Long.MIN_VALUE));
        }
        script.list(WorkerListChange.KEPT, list.toArray(WorkerEntry[]::new));
        for (String to : pools(script, 300).get(1)) {
            assertEquals(1, (to.charAt(1) - '0') % 2, to);
        }
    }

    @Test
    void jobsBeyondTheThresholdAreRefusedAtOnceAndHeldOnesGoInOrder() {
        Script script = new Script(settings(1, 0, SAFE)).workers(1);
        List<String> sent = new ArrayList<>();
        int refused = 0;
        for (int i = 0; i < 60; i++) {
            List<Action> at = script.job("job" + i);
            refused += only(at, Reject.class).size();
            only(at, Send.class).forEach(send -> sent.add(send.job()));
        }
        assertEquals(4, sent.size(), "one worker of four slots");
        assertTrue(refused > 30, refused + " refused");
        script.pass(SECOND / 20);
        List<Action> after = script.ended(sent.get(0), 0, AttemptOutcome.SERVED);
        List<Send> released = only(after, Send.class);
        assertFalse(released.isEmpty());
        assertEquals("job4", released.get(0).job(), "the oldest held");
    }

    /** Incident ifa450e: in arrival order under overload, all started just too late. */
    @Test
    void aHeldJobThatWouldBeLateIsTurnedAwayWhileOthersWait() {
        Script script = new Script(settings(1, 0, SAFE)).workers(1);
        for (int i = 0; i < 12; i++) {
            script.job("job" + i);
        }
        int before = only(script.all, Reject.class).size();
        script.pass(2 * SECOND);
        assertTrue(only(script.all, Reject.class).size() > before);
        assertEquals(4, only(script.all, Send.class).size());
    }

    /** One tenant's excess took the places of those within their share. */
    @Test
    void whatATenantSendsBeyondItsQuotaLeavesRoomForTheOthers() {
        Script script = new Script(settings(1, 0, List.of(5.0, 5.0), false, SAFE)).workers(2);
        int[] sent = new int[2];
        int seen = 0;
        List<String> out = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            int tenant = i % 20 == 0 ? 1 : 0;
            script.job(tenant + "-" + i, 0, tenant, null);
            script.pass(SECOND / 100);
            if (i % 2 == 0 && !out.isEmpty()) {
                script.free = Math.max(0, 4 - out.size() / 2.0);
                script.ended(out.remove(0), 0, AttemptOutcome.SERVED);
            }
            for (Send send : only(script.all.subList(seen, script.all.size()), Send.class)) {
                sent[send.job().charAt(0) - '0']++;
                out.add(send.job());
                script.started(send.job(), 0);
            }
            seen = script.all.size();
        }
        assertTrue(sent[1] > 40, sent[1] + " of 50 within the quota");
        assertTrue(sent[0] < 600, sent[0] + " of 950 mostly beyond it");
    }

    /** Templates were pushed out because each subject went to many workers. */
    @Test
    void aSubjectKeepsToItsWorker() {
        Script script = new Script(settings(1, 0, SAFE)).workers(12);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            String id = "job" + i;
            used.add(sentTo(script.job(id, 0, 0, 77L), id));
            script.pass(SECOND / 4);
            script.ended(id, 0, AttemptOutcome.SERVED);
        }
        assertEquals(1, used.size(), used.toString());
    }

    /** A hang: the worker takes jobs and answers none. */
    @Test
    void aSilentWorkerGetsNothingNew() {
        Script script = new Script(settings(1, 0, SAFE)).workers(2);
        String silent = sentTo(script.job("first"), "first");
        int late = 0;
        for (int i = 0; i < 100; i++) {
            String id = "job" + i;
            String to = sentTo(script.job(id), id);
            script.pass(SECOND / 20);
            if (to != null && !to.equals(silent)) {
                script.ended(id, 0, AttemptOutcome.SERVED);
            } else if (i > 50) {
                late++;
            }
        }
        assertEquals(0, late);
    }

    @Test
    void theSameEventsGiveTheSameActionsBesideAnotherDispatcher() {
        Script alone = new Script(settings(2, 0, SAFE, SAFE)).workers(6);
        pools(alone, 200);
        Script again = new Script(settings(2, 0, SAFE, SAFE)).workers(6);
        Script beside = new Script(settings(2, 1, SAFE, SAFE)).workers(6);
        for (int i = 0; i < 200; i++) {
            String id = "job" + i;
            beside.job(id, i % 2, 0, null);
            String to = sentTo(again.job(id, i % 2, 0, null), id);
            if (to != null) {
                again.started(id, 0);
            }
            again.pass(SECOND / 10);
            if (to != null) {
                again.ended(id, 0, AttemptOutcome.SERVED);
            }
        }
        assertEquals(alone.all, again.all);
    }

    @Test
    void callsThatBreakTheContractAreNamedAndChangeNothing() {
        Script script = new Script(settings(1, 0, SAFE)).workers(2);
        IllegalArgumentException unknown =
                assertThrows(IllegalArgumentException.class, () -> script.job("a", 3, 0, null));
        assertTrue(unknown.getMessage().contains("unknown class: 3"));
        assertThrows(
                IllegalArgumentException.class, () -> new JobArrived(null, 0, 0, null, 1, 1, 0));
        script.now -= SECOND / 2;
        assertThrows(IllegalArgumentException.class, () -> script.job("a"));
        script.now += SECOND;
        assertNotNull(sentTo(script.job("a"), "a"));
        assertThrows(IllegalArgumentException.class, () -> script.job("a"));
    }

    /**
     * A worker that fails at once always looks free: without a pause it would draw all there is.
     */
    @Test
    void aWorkerThatFailsEverythingAtOnceIsLeftOutAndTriedWithWhatMayBeRepeated() {
        JobClass once = jobClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS);
        Script script = new Script(settings(1, 0, SAFE, once)).workers(4);
        int[] failed = new int[2];
        for (int i = 0; i < 400; i++) {
            String id = "job" + i;
            List<Action> at = script.job(id, i % 2, 0, null);
            for (int attempt = 0;
                    "w0".equals(sentTo(at, id)) || "w3".equals(sentTo(at, id));
                    attempt++) {
                failed[i % 2]++;
                at = script.ended(id, attempt, AttemptOutcome.ERROR);
            }
            script.pass(SECOND / 20);
            script.ended(
                    id,
                    only(script.all, Send.class).stream()
                                    .filter(s -> s.job().equals(id))
                                    .toList()
                                    .size()
                            - 1,
                    AttemptOutcome.SERVED);
        }
        assertTrue(
                failed[0] > 0 && failed[0] + failed[1] < 30,
                failed[0] + " and " + failed[1] + " failed");
    }

    /**
     * A threshold bounds what waits for the own pool; beside a pool that is mostly free nobody is
     * turned away.
     */
    @Test
    void whatWouldBeRefusedBorrowsFromAPoolThatIsMostlyFree() {
        Script script = new Script(settings(1, 0, SAFE, SAFE)).workers(10);
        pools(script, 600);
        List<Action> all = new ArrayList<>();
        for (int i = 0; i < 34; i++) {
            all.addAll(script.job("burst" + i, 0, 0, null));
        }
        assertEquals(0, only(all, Reject.class).size());
        assertTrue(
                only(all, Send.class).stream().map(Send::worker).distinct().count() > 5,
                "beyond the own five");
    }

    /**
     * Reports come late: a second after four jobs were sent they show these four, which have just
     * ended.
     */
    @Test
    void ownJobsThatHaveEndedAreFreeSlotsWhateverALateReportSays() {
        Script script = new Script(settings(1, 0, SAFE)).workers(1);
        script.free = 0;
        for (String id : List.of("a", "b", "c", "d")) {
            assertEquals("w0", sentTo(script.job(id), id));
            script.started(id, 0);
        }
        script.pass(SECOND);
        for (String id : List.of("a", "b", "c", "d")) {
            script.ended(id, 0, AttemptOutcome.SERVED);
        }
        assertEquals("w0", sentTo(script.job("e"), "e"));
        assertEquals("w0", sentTo(script.job("f"), "f"));
    }

    /**
     * A silent worker's jobs go elsewhere, once, if they may be repeated; a subject's stay with its
     * worker.
     */
    @Test
    void aJobThatDoesNotStartMovesToWhereThereIsRoomIfItMayBeRepeated() {
        JobClass once = jobClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS);
        Script script = new Script(settings(1, 0, SAFE, once)).workers(4);
        script.job("a");
        script.started("a", 0);
        assertTrue(only(script.pass(SECOND / 2), Cancel.class).isEmpty(), "a started job stays");
        script.job("b", 1, 0, null);
        script.job("c", 0, 0, 5L);
        assertTrue(only(script.pass(SECOND / 2), Cancel.class).isEmpty(), "neither may move");
        String first = sentTo(script.job("d"), "d");
        assertEquals(List.of(new Cancel("d", 0)), only(script.pass(SECOND / 10), Cancel.class));
        List<Action> after = new ArrayList<>(script.ended("d", 0, AttemptOutcome.CANCELLED));
        after.addAll(script.pass(SECOND / 20));
        assertFalse(first.equals(sentTo(after, "d")), "not to the one that did not start it");
        assertEquals(1, only(after, Send.class).size());
    }

    /** What crossing saves in waiting is weighed against what the settings say that it costs. */
    @ParameterizedTest
    @CsvSource({"0.1,near", "0.02,far", "0,far"})
    void theFurtherFreeOneIsUsedWhereCrossingIsCheap(double zonePrice, String used) {
        Script script =
                new Script(
                        settings(
                                1,
                                0,
                                List.of(),
                                false,
                                zonePrice,
                                jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
        script.list(
                WorkerListChange.KEPT,
                worker("near", 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE),
                worker("far", 1, 0, WorkerStatus.RUNNING, Long.MIN_VALUE));
        script.pass(2 * SECOND);
        for (int i = 0; i < 3; i++) { // three of four slots are in use nearby
            script.give(
                    new JobArrived(
                            "j" + i,
                            0,
                            0,
                            null,
                            script.now + 10 * SECOND,
                            1,
                            0,
                            Integer.MAX_VALUE,
                            "near"::equals));
            script.started("j" + i, 0);
        }
        assertEquals(used, sentTo(script.job("x"), "x"));
    }

    /** Each zone has some of every pool where that is possible, so that jobs need not cross. */
    @Test
    void poolsTakeTheirWorkersZoneByZone() {
        Script script = new Script(settings(1, 0, SAFE, SAFE));
        List<WorkerEntry> list = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            list.add(worker("w" + i, i < 4 ? 1 : 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE));
        }
        script.list(WorkerListChange.KEPT, list.toArray(WorkerEntry[]::new));
        for (Set<String> used : pools(script, 400)) {
            assertTrue(
                    used.stream().allMatch(w -> w.compareTo("w4") >= 0),
                    "all in the own zone: " + used);
        }
    }

    /** On a bad network links break under jobs all the time; the workers behind them are well. */
    @Test
    void aLostLinkLeavesAWorkerInUseThatHasJustAnswered() {
        Script script = new Script(settings(1, 0, SAFE)).workers(1);
        script.job("a");
        script.job("b");
        script.ended("a", 0, AttemptOutcome.SERVED);
        List<Action> after = script.ended("b", 0, AttemptOutcome.RESET);
        assertEquals("w0", sentTo(after, "b"), "at once");
        script.pass(SECOND);
        assertNull(
                sentTo(script.ended("b", 1, AttemptOutcome.RESET), "b"),
                "a quiet one is spared for a while");
    }

    /**
     * A worker that has slowed down looks as free as others, and each of its jobs comes too late.
     */
    @Test
    void aSlowWorkerIsUsedOnlyWhereAllElseIsTaken() {
        Script script = new Script(settings(1, 0, SAFE)).workers(4);
        int slow = 0;
        for (int i = 0; i < 200; i++) {
            String id = "job" + i;
            String to = sentTo(script.job(id), id);
            script.started(id, 0);
            script.pass("w0".equals(to) ? SECOND / 2 : SECOND / 10);
            script.ended(id, 0, AttemptOutcome.SERVED);
            slow += "w0".equals(to) ? 1 : 0;
        }
        assertTrue(slow > 0 && slow < 20, slow + " of 200");
    }

    /**
     * Where a class's whole pool is slow its mean tells nothing: what it lends elsewhere shows how
     * long jobs take.
     */
    @Test
    void aPoolWhoseWorkersAreAllSlowBorrowsInsteadOfUsingThem() {
        Script script = new Script(settings(1, 0, SAFE, SAFE)).workers(4);
        int[] late = new int[2];
        for (int round = 0; round < 120; round++) {
            String prefix = "job" + round + "-";
            Set<String> slow = new TreeSet<>();
            for (int j = 0; j < 12; j++) {
                String id = prefix + j;
                script.job(id, j % 2, 0, null);
            }
            script.pass(SECOND / 20);
            for (Send send : only(script.all, Send.class)) {
                if (send.job().startsWith(prefix)) {
                    script.started(send.job(), 0);
                    if (send.worker().compareTo("w2") < 0) {
                        slow.add(send.job());
                    }
                }
            }
            script.pass(SECOND / 10);
            only(script.all, Send.class).stream()
                    .map(Send::job)
                    .filter(job -> job.startsWith(prefix) && !slow.contains(job))
                    .forEach(job -> script.ended(job, 0, AttemptOutcome.SERVED));
            script.pass(SECOND);
            slow.forEach(job -> script.ended(job, 0, AttemptOutcome.SERVED));
            late[round < 60 ? 0 : 1] += slow.size();
        }
        assertTrue(
                late[0] > 0 && late[1] < late[0] / 2,
                late[0] + ", then " + late[1] + " at slow workers");
    }
}
