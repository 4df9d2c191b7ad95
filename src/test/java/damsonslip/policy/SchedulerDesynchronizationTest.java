package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.IDEMPOTENT;
import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.actionsOfType;
import static damsonslip.policy.ScriptedScheduler.settings;
import static damsonslip.policy.ScriptedScheduler.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.SetTimer;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Schedulers that start or fail at the same time do not act at the same time afterwards. */
class SchedulerDesynchronizationTest {
    /** Discovery fails for all schedulers at once, several times. */
    @ParameterizedTest
    @ValueSource(ints = {14, 100})
    void spreadsDiscoveryPollsAndDealsAfterFailures(int schedulers) {
        List<Long> polls = new ArrayList<>();
        List<Long> deals = new ArrayList<>();
        for (int schedulerIndex = 0; schedulerIndex < schedulers; schedulerIndex++) {
            SchedulingPolicy policy =
                    new SchedulingPolicy(
                            settings(schedulers, schedulerIndex, List.of(), true, IDEMPOTENT),
                            1_000 + schedulerIndex);
            List<Action> actions = new ArrayList<>();
            for (int failure = 0; failure < 4; failure++) {
                actions.clear();
                policy.handle(
                        SECOND + failure,
                        new WorkerListUpdate(WorkerListChange.FAILED, List.of()),
                        actions);
                actionsOfType(actions, SetTimer.class)
                        .forEach(
                                timer -> {
                                    if (timer.label().equals("deal")) {
                                        deals.add(timer.atUs());
                                    }
                                });
            }
            polls.add(actionsOfType(actions, SetTimer.class).get(0).atUs());
        }
        assertTrue(
                maxWithin(polls, 100_000) < schedulers / 5 + 3,
                "polls within 100 ms: " + maxWithin(polls, 100_000));
        assertTrue(
                maxWithin(deals, 50_000) < schedulers / 5 + 3,
                "deals within 50 ms: " + maxWithin(deals, 50_000));
    }

    /** All schedulers start at once with the same list and receive one job each. */
    @ParameterizedTest
    @ValueSource(ints = {14, 100})
    void spreadsFirstPollsDealsAndConnections(int schedulers) {
        List<Long> polls = new ArrayList<>();
        List<Long> deals = new ArrayList<>();
        Map<String, Integer> firstSends = new HashMap<>();
        for (int schedulerIndex = 0; schedulerIndex < schedulers; schedulerIndex++) {
            SchedulingPolicy policy =
                    new SchedulingPolicy(
                            settings(schedulers, schedulerIndex, List.of(), true, IDEMPOTENT),
                            1_000 + schedulerIndex);
            List<Action> actions = startWithJob(policy);
            for (SetTimer timer : actionsOfType(actions, SetTimer.class)) {
                if (timer.label().equals("list")) {
                    polls.add(timer.atUs());
                } else if (timer.label().equals("deal")) {
                    deals.add(timer.atUs());
                }
            }
            firstSends.merge(actionsOfType(actions, Send.class).get(0).worker(), 1, Integer::sum);
        }
        assertEquals(schedulers, polls.size());
        assertTrue(
                maxWithin(polls, 50_000) < schedulers / 4 + 3,
                "polls within 50 ms: " + maxWithin(polls, 50_000));
        assertTrue(
                maxWithin(deals, 50_000) < schedulers / 5 + 3,
                "deals within 50 ms: " + maxWithin(deals, 50_000));
        int most = firstSends.values().stream().max(Integer::compare).orElseThrow();
        assertTrue(
                most < schedulers / 10 + 3,
                most
                        + " of "
                        + schedulers
                        + " schedulers send their first job to the same one of 40 workers");
    }

    private static List<Action> startWithJob(SchedulingPolicy policy) {
        List<WorkerEntry> workers = IntStream.range(0, 40).mapToObj(i -> worker("w" + i)).toList();
        List<Action> actions = new ArrayList<>();
        policy.handle(SECOND, new WorkerListUpdate(WorkerListChange.CACHED, workers), actions);
        // no job is sent before a list is received from discovery
        policy.handle(SECOND, new WorkerListUpdate(WorkerListChange.CHANGES, List.of()), actions);
        policy.handle(SECOND, new JobArrived("j", 0, 0, null, 3 * SECOND, 1, 0), actions);
        return actions;
    }

    /** Returns the largest number of these times within any interval of this length. */
    private static long maxWithin(List<Long> times, long length) {
        return times.stream()
                .mapToLong(
                        from ->
                                times.stream()
                                        .filter(at -> at >= from && at < from + length)
                                        .count())
                .max()
                .orElseThrow();
    }
}
