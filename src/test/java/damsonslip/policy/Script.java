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

/** Drives one dispatcher by scripted events and keeps its timers. */
final class Script {
    static final long SECOND = 1_000_000;

    final SchedulingPolicy rules;
    final List<Action> all = new ArrayList<>();
    private final PriorityQueue<SetTimer> timers =
            new PriorityQueue<>((a, b) -> Long.compare(a.atUs(), b.atUs()));
    long now = SECOND;

    /** What workers report to be free. */
    double free = 4;

    Script(Settings settings) {
        rules = new SchedulingPolicy(settings, 7);
    }

    static JobClass jobClass(Idempotency effect, IdempotencyScope group) {
        return new JobClass(200_000, 2, 1, effect, group, 5 * SECOND, -1);
    }

    static Settings settings(int dispatchers, int number, JobClass... classes) {
        return settings(dispatchers, number, List.of(), false, classes);
    }

    static Settings settings(
            int dispatchers, int number, List<Double> quotas, boolean ask, JobClass... classes) {
        return settings(dispatchers, number, quotas, ask, 0.1, classes);
    }

    /** The same where an attempt that crosses zones costs this part of a job. */
    static Settings settings(
            int dispatchers,
            int number,
            List<Double> quotas,
            boolean ask,
            double zonePrice,
            JobClass... classes) {
        return new Settings(
                dispatchers,
                number,
                0,
                2,
                1,
                List.of(classes),
                quotas,
                new Limits(4, true, true, 0.002, zonePrice),
                new Guarantees(16_000, 500_000, 10 * SECOND, 0.25, 8 * SECOND, 3, 2 * SECOND),
                LoadReporting.WITH_RESPONSES,
                ask,
                true,
                4_000);
    }

    static WorkerEntry worker(String id, int zone, int cell, WorkerStatus status, long started) {
        return new WorkerEntry(id, zone, cell, 0, status, started);
    }

    static WorkerEntry worker(String id) {
        return worker(id, 0, 0, WorkerStatus.RUNNING, Long.MIN_VALUE);
    }

    Script workers(int count) {
        List<WorkerEntry> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(worker("w" + i));
        }
        list(WorkerListChange.KEPT, list.toArray(WorkerEntry[]::new));
        return this;
    }

    List<Action> list(WorkerListChange mode, WorkerEntry... workers) {
        return give(new WorkerListUpdate(mode, List.of(workers)));
    }

    List<Action> give(Event event) {
        List<Action> actions = new ArrayList<>();
        rules.handle(now, event, actions);
        for (Action action : actions) {
            if (action instanceof SetTimer timer) {
                timers.add(timer);
            }
        }
        all.addAll(actions);
        return actions;
    }

    /** A job of class 0 that waits for ten seconds. */
    List<Action> job(String id) {
        return job(id, 0, 0, null);
    }

    List<Action> job(String id, int jobClass, int tenant, Long subject) {
        return give(new JobArrived(id, jobClass, tenant, subject, now + 10 * SECOND, 1, 0));
    }

    List<Action> ended(String id, int attempt, AttemptOutcome outcome) {
        return give(
                new AttemptEnded(
                        id,
                        attempt,
                        outcome,
                        outcome == AttemptOutcome.SERVED,
                        new LoadReport(free, Double.NaN, Double.NaN)));
    }

    List<Action> started(String id, int attempt) {
        return give(new AttemptStarted(id, attempt));
    }

    /** Lets time pass and gives back what the timers led to. */
    List<Action> pass(long micros) {
        long end = now + micros;
        List<Action> actions = new ArrayList<>();
        while (!timers.isEmpty() && timers.peek().atUs() <= end) {
            SetTimer timer = timers.poll();
            now = Math.max(now, timer.atUs());
            actions.addAll(give(new TimerDue(timer.label())));
        }
        now = end;
        return actions;
    }

    /** The worker that the actions send the job to, or null. */
    static String sentTo(List<Action> actions, String job) {
        for (Action action : actions) {
            if (action instanceof Send send && send.job().equals(job)) {
                return send.worker();
            }
        }
        return null;
    }

    static <T> List<T> only(List<Action> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
