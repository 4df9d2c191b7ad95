package damsonslip.policy;

import static damsonslip.policy.Script.SECOND;
import static damsonslip.policy.Script.jobClass;
import static damsonslip.policy.Script.settings;
import static damsonslip.policy.Script.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.PoolState;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.SetTimer;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import damsonslip.policy.api.WorkerState;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What many dispatchers that each see little do together. */
class LargeFleetTest {
    private static final JobClass SAFE =
            jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS);

    /**
     * Guards against sending into the queues of workers of which nothing was heard as though they
     * were idle.
     */
    @Test
    void workersThatNothingWasHeardOfAreTakenToBeAsFullAsTheRest() {
        Script script = new Script(settings(14, 0, SAFE)).workers(8);
        script.free = 0;
        for (int i = 0; i < 60; i++) {
            script.job("j" + i);
            script.pass(100_000);
            script.ended("j" + i, 0, AttemptOutcome.SERVED);
        }
        script.list(
                WorkerListChange.CHANGES,
                worker("far", 1, 0, WorkerStatus.RUNNING, Long.MIN_VALUE));
        WorkerState far = script.rules.workers(script.now).get(0);
        assertTrue(
                far.id().equals("far") && far.freeSlots() < 2,
                "no report says that anybody has room: " + far);
    }

    /** Guards against figures from before a release: soon after it the same workers are full. */
    @Test
    void reportsOfLongAgoCountForLittle() {
        Script script = new Script(settings(14, 0, SAFE)).workers(8);
        for (int i = 0; i < 60; i++) {
            script.free = i < 50 ? 4 : 0;
            script.job("j" + i);
            script.pass(3 * SECOND / 2);
            script.ended("j" + i, 0, AttemptOutcome.SERVED);
        }
        double free =
                script.rules.workers(script.now).stream()
                        .mapToDouble(WorkerState::freeSlots)
                        .average()
                        .orElseThrow();
        assertTrue(free < 1.3, "ten reports in fifteen seconds say that all are full: " + free);
    }

    /**
     * Guards against each dispatcher finding a failing worker by its own losses, when every report
     * tells of all errors.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.8, 3})
    void whoeverHeardOfErrorsKeepsWhatMustNotBeRepeatedAway(double errors) {
        Script script =
                new Script(
                                settings(
                                        14,
                                        0,
                                        jobClass(
                                                Idempotency.NOT_IDEMPOTENT,
                                                IdempotencyScope.ALL_WORKERS)))
                        .workers(2);
        List<Action> first = script.job("first");
        String failing = Script.sentTo(first, "first");
        script.pass(100_000);
        script.give(
                new AttemptEnded(
                        "first",
                        0,
                        AttemptOutcome.SERVED,
                        true,
                        new LoadReport(4, Double.NaN, Double.NaN, Double.NaN, errors)));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            used.add(Script.sentTo(script.job("j" + i), "j" + i));
            script.pass(150_000);
            script.ended("j" + i, 0, AttemptOutcome.SERVED);
        }
        assertEquals(
                errors < 1,
                used.contains(failing),
                "one error in a second is chance, more are not: " + used);
    }

    /**
     * Of many workers each dispatcher sees few jobs: two have to do, as long as nothing else is
     * known of them.
     */
    @Test
    void aSlowWorkerIsFoundByFewJobs() {
        Script script = new Script(settings(14, 0, SAFE)).workers(10);
        Map<String, Integer> jobs = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String to = Script.sentTo(script.job("j" + i), "j" + i);
            jobs.merge(to, 1, Integer::sum);
            script.started("j" + i, 0);
            script.pass(to.equals("w3") ? 400_000 : 100_000);
            script.ended("j" + i, 0, AttemptOutcome.SERVED);
        }
        assertTrue(
                jobs.get("w3") <= 2,
                "a worker four times slower had " + jobs.get("w3") + " of 60 jobs");
    }

    /**
     * Guards against turning away, beside slots seen free, what a small pool cannot take while its
     * one worker is out.
     */
    @Test
    void aPoolWhoseWorkersAreOutBorrowsWhateverIsFree() {
        Script script = new Script(settings(1, 0, SAFE, SAFE)).workers(8);
        for (int i = 0; i < 100; i++) {
            script.free = i % 20 == 0 ? 4 : 1.4; // of four: less than a pool lends in good times
            script.job("j" + i, i % 20 == 0 ? 1 : 0, 0, null);
            script.pass(100_000);
            script.ended("j" + i, 0, AttemptOutcome.SERVED);
        }
        String own = Script.sentTo(script.job("x", 1, 0, null), "x");
        script.ended("x", 0, AttemptOutcome.NOT_CONNECTED);
        String lent = Script.sentTo(script.pass(110_000), "x");
        assertTrue(lent != null && !lent.equals(own), "sent to " + own + ", then to " + lent);
    }

    /**
     * Guards against turning away what earns much in little time beside slots that a cheaper class
     * leaves free.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0.2, 5})
    void whatEarnsMoreBorrowsAnySlotSeenFree(double worth) {
        JobClass first =
                new JobClass(
                        200_000,
                        2,
                        worth,
                        Idempotency.IDEMPOTENT,
                        IdempotencyScope.ALL_WORKERS,
                        5 * SECOND,
                        -1);
        Script script = new Script(settings(1, 0, first, SAFE)).workers(8);
        for (int i = 0; i < 200; i++) {
            script.free = i % 20 < 2 ? 4 : 1.4; // of four: less than a pool lends in good times
            script.job("j" + i, i % 2, 0, null);
            script.pass(100_000);
            script.ended("j" + i, 0, AttemptOutcome.SERVED);
        }
        List<Action> actions = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            actions.addAll(script.job("x" + i, 0, 0, null));
        }
        long used = Script.only(actions, Send.class).stream().map(Send::worker).distinct().count();
        assertEquals(worth > 1, used > 4, "half of the workers are its own: it used " + used);
    }

    /**
     * Guards against sending job after job to full workers while no report comes: what does not
     * start tells as much.
     */
    @Test
    void aJobThatDoesNotStartTellsThatItsWorkerAndThoseLikeItAreFull() {
        Script script = new Script(settings(14, 0, SAFE)).workers(8);
        for (int i = 0; i < 40; i++) {
            script.job("j" + i);
            script.started("j" + i, 0);
            script.pass(100_000);
            script.ended("j" + i, 0, AttemptOutcome.SERVED);
        }
        double before = free(script);
        String to = Script.sentTo(script.job("x"), "x");
        script.pass(110_000); // and it is moved
        script.ended("x", 0, AttemptOutcome.CANCELLED);
        script.pass(20_000);
        assertTrue(
                script.rules.workers(script.now).stream()
                        .anyMatch(w -> w.id().equals(to) && w.freeSlots() < 1.5),
                to);
        assertTrue(free(script) < before - 0.5, "from " + before + " to " + free(script));
    }

    /**
     * Of so many jobs one starts 150 ms after it was sent, wherever that is, and the others at
     * once. Guards against moving where queues are everywhere: where workers run on what was called
     * off, the moves are the load that keeps them up.
     */
    @ParameterizedTest
    @CsvSource({"1, 0, 3", "2, 0, 10", "10, 35, 40"})
    void jobsAreMovedWhereMostStartAtOnce(int of, int least, int most) {
        Script script = new Script(settings(14, 0, SAFE)).workers(8);
        int moved = 0;
        for (int i = 0; i < 400; i++) {
            String job = "j" + i;
            script.job(job);
            int attempt = 0;
            if (i % of == of - 1) {
                while (!Script.only(script.pass(150_000), Cancel.class).isEmpty()) {
                    script.ended(job, attempt++, AttemptOutcome.CANCELLED);
                }
                moved += attempt > 0 ? 1 : 0;
            }
            script.started(job, attempt);
            script.pass(50_000);
            script.ended(job, attempt, AttemptOutcome.SERVED);
        }
        assertTrue(moved >= least && moved <= most, moved + " are moved");
    }

    /**
     * Discovery fails for all at once, again and again: what they do next does not come in step.
     */
    @ParameterizedTest
    @ValueSource(ints = {14, 100})
    void callsForTheListAndReDealingSpreadOut(int dispatchers) {
        List<Long> calls = new ArrayList<>();
        List<Long> deals = new ArrayList<>();
        for (int number = 0; number < dispatchers; number++) {
            SchedulingPolicy rules =
                    new SchedulingPolicy(
                            settings(dispatchers, number, List.of(), true, SAFE), 1_000 + number);
            List<Action> actions = new ArrayList<>();
            for (int failure = 0; failure < 4; failure++) {
                actions.clear();
                rules.handle(
                        SECOND + failure,
                        new WorkerListUpdate(WorkerListChange.FAILED, List.of()),
                        actions);
                Script.only(actions, SetTimer.class)
                        .forEach(
                                timer -> {
                                    if (timer.label().equals("deal")) {
                                        deals.add(timer.atUs());
                                    }
                                });
            }
            calls.add(Script.only(actions, SetTimer.class).get(0).atUs());
        }
        assertTrue(
                crowd(calls, 100_000) < dispatchers / 5 + 3,
                "calls in a tenth of a second: " + crowd(calls, 100_000));
        assertTrue(
                crowd(deals, 50_000) < dispatchers / 5 + 3,
                "deals in a twentieth: " + crowd(deals, 50_000));
    }

    /**
     * All start at once with the same list and get a query each: neither first calls nor links fall
     * together.
     */
    @ParameterizedTest
    @ValueSource(ints = {14, 100})
    void startsAndLinkOpeningsSpreadOut(int dispatchers) {
        List<Long> calls = new ArrayList<>();
        List<Long> deals = new ArrayList<>();
        Map<String, Integer> opened = new HashMap<>();
        for (int number = 0; number < dispatchers; number++) {
            SchedulingPolicy rules =
                    new SchedulingPolicy(
                            settings(dispatchers, number, List.of(), true, SAFE), 1_000 + number);
            List<Action> actions = new ArrayList<>();
            rules.handle(
                    SECOND,
                    new WorkerListUpdate(
                            WorkerListChange.KEPT,
                            IntStream.range(0, 40).mapToObj(i -> worker("w" + i)).toList()),
                    actions);
            rules.handle(
                    SECOND,
                    new WorkerListUpdate(WorkerListChange.CHANGES, List.of()),
                    actions); // nothing is sent before
            rules.handle(SECOND, new JobArrived("j", 0, 0, null, 3 * SECOND, 1, 0), actions);
            for (SetTimer timer : Script.only(actions, SetTimer.class)) {
                if (timer.label().equals("list")) {
                    calls.add(timer.atUs());
                } else if (timer.label().equals("deal")) {
                    deals.add(timer.atUs());
                }
            }
            opened.merge(Script.only(actions, Send.class).get(0).worker(), 1, Integer::sum);
        }
        assertEquals(dispatchers, calls.size());
        assertTrue(
                crowd(calls, 50_000) < dispatchers / 4 + 3,
                "calls in a twentieth: " + crowd(calls, 50_000));
        assertTrue(
                crowd(deals, 50_000) < dispatchers / 5 + 3,
                "deals in a twentieth: " + crowd(deals, 50_000));
        int most = opened.values().stream().max(Integer::compare).orElseThrow();
        assertTrue(
                most < dispatchers / 10 + 3,
                most + " of " + dispatchers + " go to one of 40 workers first");
    }

    /** The most of them that fall into any stretch of this length. */
    private static long crowd(List<Long> times, long length) {
        return times.stream()
                .mapToLong(
                        from ->
                                times.stream()
                                        .filter(at -> at >= from && at < from + length)
                                        .count())
                .max()
                .orElseThrow();
    }

    private static double free(Script script) {
        return script.rules.workers(script.now).stream()
                .mapToDouble(WorkerState::freeSlots)
                .average()
                .orElseThrow();
    }

    /** The first deal comes before the first query is served, on code that is not compiled yet. */
    @Test
    void dealingManyWorkersTakesLittleTime() {
        Script script = new Script(settings(100, 0, SAFE, SAFE));
        long before = System.nanoTime();
        script.list(
                WorkerListChange.KEPT,
                IntStream.range(0, 3_000)
                        .mapToObj(
                                i ->
                                        worker(
                                                "w" + i,
                                                i % 2,
                                                0,
                                                WorkerStatus.RUNNING,
                                                Long.MIN_VALUE))
                        .toArray(WorkerEntry[]::new));
        long tookMs = (System.nanoTime() - before) / 1_000_000;
        assertTrue(tookMs < 5_000, "3,000 workers took " + tookMs + " ms");
        assertEquals(3_000, script.rules.pools().stream().mapToInt(PoolState::workers).sum());
    }

    /**
     * Workers of one release are all cold together: a dispatcher shall not have its turn at all or
     * none of them.
     */
    @Test
    void turnsAtColdWorkersDoNotFallTogether() {
        Script script = new Script(settings(40, 3, SAFE));
        List<WorkerEntry> fresh = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            fresh.add(worker("w" + i, 0, 0, WorkerStatus.RUNNING, SECOND));
        }
        script.list(WorkerListChange.KEPT, fresh.toArray(WorkerEntry[]::new));
        for (int turn = 0; turn < 3; turn++) {
            Set<String> reached = new HashSet<>();
            steps(script, 90, "turn" + turn)
                    .forEach(sends -> sends.forEach(send -> reached.add(send.worker())));
            script.pass(10 * 20_000); // to the next turn
            assertTrue(
                    reached.size() > 2 && reached.size() < 20,
                    "turn " + turn + ": " + reached.size() + " of 24");
        }
    }

    /** A job every 20 ms, each of which takes 200 ms; gives what was sent in each step. */
    private static List<List<Send>> steps(Script script, int count, String name) {
        List<List<Send>> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            List<Action> actions = new ArrayList<>(script.job(name + i));
            actions.addAll(script.pass(20_000));
            all.add(Script.only(actions, Send.class));
            all.get(i).forEach(send -> script.started(send.job(), 0));
            if (i >= 10) {
                all.get(i - 10).forEach(send -> script.ended(send.job(), 0, AttemptOutcome.SERVED));
            }
        }
        return all;
    }

    /**
     * However many there are, all together keep within what a cold worker bears, in any window of
     * the rule's length.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 14, 100})
    void allDispatchersTogetherSpareAColdWorker(int dispatchers) {
        double[] sent = new double[500];
        for (int number = 0; number < dispatchers; number++) {
            Script script = new Script(settings(dispatchers, number, SAFE));
            script.list(WorkerListChange.KEPT, worker("cold", 0, 0, WorkerStatus.RUNNING, SECOND));
            List<List<Send>> steps = steps(script, 400, "job");
            for (int i = 0; i < 400; i++) {
                sent[i] +=
                        0.2
                                * steps.get(i)
                                        .size(); // what a job of this class takes, in core-seconds
            }
        }
        for (int from = 0; from < 290; from++) {
            double inWindow = 0;
            for (int i = from; i < from + 100; i++) {
                inWindow += sent[i];
            }
            double warmth = 0.25 + 0.75 * (from * 0.02 + 1) / 8; // in the middle of the window
            assertTrue(inWindow <= 3 * warmth * 4 * 2, "from " + from + ": " + inWindow);
        }
    }
}
