package damsonslip.policy;

import static damsonslip.policy.ScriptedScheduler.IDEMPOTENT;
import static damsonslip.policy.ScriptedScheduler.SECOND;
import static damsonslip.policy.ScriptedScheduler.actionsOfType;
import static damsonslip.policy.ScriptedScheduler.sentTo;
import static damsonslip.policy.ScriptedScheduler.settings;
import static damsonslip.policy.ScriptedScheduler.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.SchedulersChanged;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** All schedulers together do not overload a worker that warms up (rule 4). */
class SlowStartTest {
    @Test
    void keepsAllSchedulersWithinTheSlowStartBudget() {
        int schedulers = 20;
        long start = SECOND;
        List<Long> sends = new ArrayList<>();
        double jobUs = 200_000;
        for (int number = 0; number < schedulers; number++) {
            ScriptedScheduler scheduler =
                    new ScriptedScheduler(settings(schedulers, number, IDEMPOTENT));
            scheduler.updateWorkerList(
                    WorkerListChange.CACHED, worker("cold", 0, 0, WorkerStatus.RUNNING, start));
            for (int i = 0; i < 400; i++) {
                String id = "job" + i;
                if (sentTo(scheduler.jobArrives(id), id) != null) {
                    sends.add(scheduler.now);
                    scheduler.attemptEnds(id, 0, AttemptOutcome.FULL);
                }
                scheduler.advance(20_000);
            }
        }
        assertFalse(sends.isEmpty(), "a worker that warms up is sent some jobs");
        for (long from = start; from < start + 6 * SECOND; from += 100_000) {
            long begin = from;
            double work =
                    sends.stream().filter(t -> t >= begin && t < begin + 2 * SECOND).count()
                            * jobUs;
            double capacity = 4 * (0.25 + 0.75 * (begin - start) / (8.0 * SECOND));
            assertTrue(work <= 3 * capacity * 2 * SECOND, work + " at " + (begin - start));
        }
    }

    /** During an upgrade two processes of a scheduler send no more than one would. */
    @Test
    void dividesTheBudgetAmongProcessesOfAScheduler() {
        int alone = sendsToWarmingUpWorker(1);
        int divided = sendsToWarmingUpWorker(2);
        assertTrue(divided > 0, "the worker is still sent some jobs");
        assertTrue(
                divided <= 1.1 * alone,
                divided + " sends by two processes per scheduler, by one: " + alone);
    }

    private static int sendsToWarmingUpWorker(int processes) {
        int sends = 0;
        for (int number = 0; number < 3 * processes; number++) {
            ScriptedScheduler scheduler =
                    new ScriptedScheduler(settings(3, number / processes, IDEMPOTENT));
            scheduler.updateWorkerList(
                    WorkerListChange.CACHED, worker("cold", 0, 0, WorkerStatus.RUNNING, SECOND));
            if (processes > 1) {
                scheduler.handle(new SchedulersChanged(3 * processes, number));
            }
            for (int i = 0; i < 400; i++) {
                List<Action> actions = new ArrayList<>(scheduler.jobArrives("job" + i));
                actions.addAll(scheduler.advance(20_000));
                List<Send> unfinished = new ArrayList<>(actionsOfType(actions, Send.class));
                for (int next = 0;
                        next < unfinished.size();
                        next++) { // each finished attempt may lead to the next send
                    sends++;
                    unfinished.addAll(
                            actionsOfType(
                                    scheduler.attemptEnds(
                                            unfinished.get(next).job(), 0, AttemptOutcome.SERVED),
                                    Send.class));
                }
            }
        }
        return sends;
    }

    @Test
    void startsSlowlyAfterAWorkerRestart() {
        int sent = 0;
        for (int number = 0; number < 40; number++) {
            ScriptedScheduler scheduler = new ScriptedScheduler(settings(40, number, IDEMPOTENT));
            scheduler.updateWorkerList(WorkerListChange.CACHED, worker("a"));
            assertEquals("a", sentTo(scheduler.jobArrives("x"), "x"));
            scheduler.advance(SECOND / 5);
            scheduler.attemptEnds("x", 0, AttemptOutcome.SERVED);
            scheduler.updateWorkerList(
                    WorkerListChange.CHANGES,
                    worker("a", 0, 0, WorkerStatus.RUNNING, scheduler.now));
            sent += sentTo(scheduler.jobArrives("y"), "y") == null ? 0 : 1;
        }
        assertTrue(
                sent > 0 && sent <= 10,
                sent + " of 40 schedulers send a job, where the budget allows 11 jobs");
    }

    /**
     * After a rolling restart many workers warm up at the same time; a scheduler's turns to send to
     * them are spread out.
     */
    @Test
    void spreadsTurnsOverWarmingUpWorkers() {
        ScriptedScheduler scheduler = new ScriptedScheduler(settings(40, 3, IDEMPOTENT));
        List<WorkerEntry> warmingUpWorkers = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            warmingUpWorkers.add(worker("w" + i, 0, 0, WorkerStatus.RUNNING, SECOND));
        }
        scheduler.updateWorkerList(
                WorkerListChange.CACHED, warmingUpWorkers.toArray(WorkerEntry[]::new));
        for (int turn = 0; turn < 3; turn++) {
            Set<String> usedWorkers = new HashSet<>();
            sendsOfSteps(scheduler, 90, "turn" + turn)
                    .forEach(sends -> sends.forEach(send -> usedWorkers.add(send.worker())));
            scheduler.advance(10 * 20_000); // to the next turn
            assertTrue(
                    usedWorkers.size() > 2 && usedWorkers.size() < 20,
                    "turn " + turn + ": " + usedWorkers.size() + " of 24");
        }
    }

    /** The bound holds in any window of the configured length. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 14, 100})
    void keepsAnyNumberOfSchedulersWithinTheBudget(int schedulers) {
        double[] sent = new double[500];
        for (int number = 0; number < schedulers; number++) {
            ScriptedScheduler scheduler =
                    new ScriptedScheduler(settings(schedulers, number, IDEMPOTENT));
            scheduler.updateWorkerList(
                    WorkerListChange.CACHED, worker("cold", 0, 0, WorkerStatus.RUNNING, SECOND));
            List<List<Send>> steps = sendsOfSteps(scheduler, 400, "job");
            for (int i = 0; i < 400; i++) {
                sent[i] += 0.2 * steps.get(i).size(); // run time of a job of this class in seconds
            }
        }
        for (int from = 0; from < 290; from++) {
            double inWindow = 0;
            for (int i = from; i < from + 100; i++) {
                inWindow += sent[i];
            }
            double capacityShare =
                    0.25 + 0.75 * (from * 0.02 + 1) / 8; // in the middle of the window
            assertTrue(inWindow <= 3 * capacityShare * 4 * 2, "from " + from + ": " + inWindow);
        }
    }

    /** Submits a job every 20 ms, each running for 200 ms; returns the sends of each step. */
    private static List<List<Send>> sendsOfSteps(
            ScriptedScheduler scheduler, int count, String name) {
        List<List<Send>> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            List<Action> actions = new ArrayList<>(scheduler.jobArrives(name + i));
            actions.addAll(scheduler.advance(20_000));
            all.add(actionsOfType(actions, Send.class));
            all.get(i).forEach(send -> scheduler.attemptStarts(send.job(), 0));
            if (i >= 10) {
                all.get(i - 10)
                        .forEach(
                                send ->
                                        scheduler.attemptEnds(
                                                send.job(), 0, AttemptOutcome.SERVED));
            }
        }
        return all;
    }
}
