package damsonslip.policy;

/** Decides whether a worker may be sent a job, regardless of its load. */
final class WorkerEligibility {
    private final DecisionContext context;
    private final WorkerAvailability availability;
    private final OutlierDetector outliers;
    private final SlowStartBudget slowStart;

    WorkerEligibility(
            DecisionContext context,
            WorkerAvailability availability,
            OutlierDetector outliers,
            SlowStartBudget slowStart) {
        this.context = context;
        this.availability = availability;
        this.outliers = outliers;
        this.slowStart = slowStart;
    }

    /** Whether the job may be sent to the worker now. */
    boolean mayTake(Worker worker, Job job) {
        return availability.mayUse(worker) && couldTake(worker, job);
    }

    /**
     * Whether the job could be sent to the worker now if the worker list or the worker's lease were
     * valid.
     */
    boolean couldTake(Worker worker, Job job) {
        return worker.isRunning()
                && !worker.health().isPaused(context.nowUs())
                && isOfKind(worker, job.jobClass().workerKind())
                && !outliers.isSilent(worker)
                && job.isEligible(worker)
                && outliers.allowsJob(worker, job)
                && slowStart.allows(worker, SlowStartBudget.costUs(job));
    }

    private static boolean isOfKind(Worker worker, int kind) {
        return kind < 0 || kind == worker.kind();
    }
}
