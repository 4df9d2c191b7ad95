package damsonslip.policy;

import damsonslip.policy.api.Action;
import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.AttemptStarted;
import damsonslip.policy.api.Event;
import damsonslip.policy.api.Guarantees;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.Limits;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.LoadReporting;
import damsonslip.policy.api.Send;
import damsonslip.policy.api.SetTimer;
import damsonslip.policy.api.Settings;
import damsonslip.policy.api.TimerDue;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.policy.api.WorkerListChange;
import damsonslip.policy.api.WorkerListUpdate;
import damsonslip.policy.api.WorkerStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;

/** Drives one scheduling policy with scripted events and runs its timers. */
final class ScriptedScheduler {
    static final long SECOND = 1_000_000;

    /** A class of idempotent jobs. */
    static final JobClass IDEMPOTENT =
            jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS);

    final SchedulingPolicy policy;
    final List<Action> actions = new ArrayList<>();
    private final PriorityQueue<SetTimer> timers =
            new PriorityQueue<>((a, b) -> Long.compare(a.atUs(), b.atUs()));
    long now = SECOND;

    /** Free slots that workers report. */
    double reportedFreeSlots = 4;

    ScriptedScheduler(Settings settings) {
        policy = new SchedulingPolicy(settings, 7);
    }

    /** Creates the only scheduler of a deployment with one job class. */
    static ScriptedScheduler ofClass(Idempotency idempotency, IdempotencyScope scope) {
        return new ScriptedScheduler(settings(1, 0, jobClass(idempotency, scope)));
    }

    static JobClass jobClass(Idempotency idempotency, IdempotencyScope scope) {
        return new JobClass(200_000, 2, 1, idempotency, scope, 5 * SECOND, -1);
    }

    static Settings settings(int schedulers, int schedulerIndex, JobClass... classes) {
        return settings(schedulers, schedulerIndex, List.of(), false, classes);
    }

    static Settings settings(
            int schedulers,
            int schedulerIndex,
            List<Double> quotas,
            boolean pollsWorkerList,
            JobClass... classes) {
        return settings(schedulers, schedulerIndex, quotas, pollsWorkerList, 0.1, classes);
    }

    /**
     * The same with the given price of an attempt across zones, as a fraction of the value of a
     * job.
     */
    static Settings settings(
            int schedulers,
            int schedulerIndex,
            List<Double> quotas,
            boolean pollsWorkerList,
            double crossZonePrice,
            JobClass... classes) {
        return new Settings(
                schedulers,
                schedulerIndex,
                0,
                2,
                1,
                List.of(classes),
                quotas,
                new Limits(4, true, true, 0.002, crossZonePrice),
                new Guarantees(16_000, 500_000, 10 * SECOND, 0.25, 8 * SECOND, 3, 2 * SECOND),
                LoadReporting.WITH_RESPONSES,
                pollsWorkerList,
                true,
                4_000);
    }

    static WorkerEntry worker(String id, int zone, int cell, WorkerStatus status, long started) {
        return new WorkerEntry(id, zone, cell, 0, status, started);
    }

    static WorkerEntry worker(String id) {
        return worker(id, 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE);
    }

    ScriptedScheduler workers(int count) {
        List<WorkerEntry> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(worker("w" + i));
        }
        updateWorkerList(WorkerListChange.CACHED, list.toArray(WorkerEntry[]::new));
        return this;
    }

    List<Action> updateWorkerList(WorkerListChange change, WorkerEntry... workers) {
        return handle(new WorkerListUpdate(change, List.of(workers)));
    }

    List<Action> handle(Event event) {
        List<Action> actions = new ArrayList<>();
        policy.handle(now, event, actions);
        for (Action action : actions) {
            if (action instanceof SetTimer timer) {
                timers.add(timer);
            }
        }
        this.actions.addAll(actions);
        return actions;
    }

    /** Submits a job of class 0 with a timeout of ten seconds. */
    List<Action> jobArrives(String id) {
        return jobArrives(id, 0, 0, null);
    }

    List<Action> jobArrives(String id, int jobClass, int tenant, Long affinityKey) {
        return handle(new JobArrived(id, jobClass, tenant, affinityKey, now + 10 * SECOND, 1, 0));
    }

    List<Action> attemptEnds(String id, int attempt, AttemptOutcome outcome) {
        return handle(
                new AttemptEnded(
                        id,
                        attempt,
                        outcome,
                        outcome == AttemptOutcome.SERVED,
                        new LoadReport(reportedFreeSlots, Double.NaN, Double.NaN)));
    }

    List<Action> attemptStarts(String id, int attempt) {
        return handle(new AttemptStarted(id, attempt));
    }

    /** Advances the clock and returns the actions that the timers caused. */
    List<Action> advance(long micros) {
        long end = now + micros;
        List<Action> actions = new ArrayList<>();
        while (!timers.isEmpty() && timers.peek().atUs() <= end) {
            SetTimer timer = timers.poll();
            now = Math.max(now, timer.atUs());
            actions.addAll(handle(new TimerDue(timer.label())));
        }
        now = end;
        return actions;
    }

    /** Returns the worker that the actions send the job to, or null. */
    static String sentTo(List<Action> actions, String job) {
        for (Action action : actions) {
            if (action instanceof Send send && send.job().equals(job)) {
                return send.worker();
            }
        }
        return null;
    }

    /**
     * Submits jobs of both classes in turn, each served after 100 ms; returns the workers that each
     * class used in the second half.
     */
    static List<Set<String>> workersUsedByClass(ScriptedScheduler scheduler, int jobs) {
        List<Set<String>> used = List.of(new TreeSet<>(), new TreeSet<>());
        for (int i = 0; i < jobs; i++) {
            String id = "job" + i;
            String to = sentTo(scheduler.jobArrives(id, i % 2, 0, null), id);
            if (to != null) {
                scheduler.attemptStarts(id, 0);
            }
            scheduler.advance(SECOND / 10);
            if (to != null) {
                scheduler.attemptEnds(id, 0, AttemptOutcome.SERVED);
                if (i > jobs / 2) {
                    used.get(i % 2).add(to);
                }
            }
        }
        return used;
    }

    static <T> List<T> actionsOfType(List<Action> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
