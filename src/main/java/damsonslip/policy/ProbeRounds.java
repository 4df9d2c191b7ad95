package damsonslip.policy;

import damsonslip.policy.api.Limits;
import damsonslip.policy.api.LoadReporting;
import java.util.List;

/**
 * Where only probes report load, probes all running workers in turn. The rate depends on the
 * configured price of a probe.
 */
final class ProbeRounds {
    /** Time between two batches of probes. */
    private static final long BATCH_INTERVAL_US = 20_000;

    /** Limit of the cost of probes per job, in the points of {@link Limits#probePrice}. */
    private static final double MAX_POINTS_PER_JOB = 0.003;

    private static final double MAX_PROBES_PER_JOB = 2;

    /** Minimum mean time between two probes of a worker. */
    private static final long MIN_WORKER_INTERVAL_US = 400_000;

    /** The rate of probes is computed for at least this many own jobs a second. */
    private static final double MIN_JOBS_PER_SECOND = 2;

    private static final double MAX_BATCH = 20;

    /** Avoids division by 0 for a price of 0. */
    private static final double MIN_PRICE = 1e-6;

    private static final double MICROS_PER_SECOND = 1e6;

    private final DecisionContext context;
    private final ProbeSender sender;
    private final SlowStartBudget slowStart;
    private List<Worker> workers = List.of();
    private int next;
    private double allowance;

    ProbeRounds(DecisionContext context, ProbeSender sender, SlowStartBudget slowStart) {
        this.context = context;
        this.sender = sender;
        this.slowStart = slowStart;
    }

    /** Schedules the first batch, where load is reported by probes. */
    void start() {
        boolean byProbe = context.settings().loadReporting() == LoadReporting.BY_PROBE;
        if (byProbe && context.settings().limits().mayProbe()) {
            long delayUs = context.random().nextLong(BATCH_INTERVAL_US) + 1;
            context.setTimerIn(delayUs, TimerLabels.PROBE);
        }
    }

    /** Sets the workers that are probed in turn. */
    void setWorkers(List<Worker> running) {
        workers = running;
    }

    /**
     * Probes the next workers and schedules the next batch.
     *
     * @param jobsPerSecond arrival rate of own jobs
     */
    void probeBatch(double jobsPerSecond) {
        double perSecond = probesPerSecond(jobsPerSecond);
        double earned = perSecond * BATCH_INTERVAL_US / MICROS_PER_SECOND;
        allowance = Math.min(allowance + earned, MAX_BATCH);
        for (int i = 0; i < workers.size() && allowance >= 1; i++) {
            Worker worker = workers.get(next++ % workers.size());
            if (worker.isRunning() && slowStart.trySpendProbe(worker)) {
                allowance--;
                sender.send(worker);
            }
        }
        context.setTimerIn(BATCH_INTERVAL_US, TimerLabels.PROBE);
    }

    private double probesPerSecond(double jobsPerSecond) {
        Limits limits = context.settings().limits();
        double affordablePerJob = MAX_POINTS_PER_JOB / Math.max(MIN_PRICE, limits.probePrice());
        double perJob = Math.min(MAX_PROBES_PER_JOB, affordablePerJob);
        double usefulPerSecond = workers.size() * MICROS_PER_SECOND / MIN_WORKER_INTERVAL_US;
        return Math.min(usefulPerSecond, Math.max(jobsPerSecond, MIN_JOBS_PER_SECOND) * perJob);
    }
}
