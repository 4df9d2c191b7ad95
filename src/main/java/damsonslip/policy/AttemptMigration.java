package damsonslip.policy;

import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.Limits;

/**
 * Migrates jobs: cancels attempts that wait in a worker's queue without starting, so that the job
 * is sent to a worker with a free slot.
 *
 * <p>A budget, which grows with jobs that start promptly and shrinks with jobs that start late,
 * keeps migrations from adding load when all workers have queues.
 */
final class AttemptMigration {
    /** Minimum time from sending a job to its first check, and the time between two checks. */
    private static final long CHECK_INTERVAL_US = 100_000;

    /** The first check comes after this fraction of the job's slack, if that is longer. */
    private static final double FIRST_CHECK_SLACK_FRACTION = 0.12;

    /**
     * Added to the budget by a job that starts within {@link #CHECK_INTERVAL_US}: enough to migrate
     * the jobs of a lost zone.
     */
    private static final double BUDGET_FOR_PROMPT_START = 0.3;

    /** Added to the budget by a job that starts later. */
    private static final double BUDGET_FOR_LATE_START = -0.4;

    private static final double MAX_BUDGET = 20;

    private final DecisionContext context;
    private final WorkerRegistry registry;
    private final WorkerEligibility eligibility;
    private final CapacityEstimator capacity;
    private final IdempotencyRules idempotency;
    private final OutlierDetector outliers;
    private double budget = 1;
    private int migrated;

    AttemptMigration(
            DecisionContext context,
            WorkerRegistry registry,
            WorkerEligibility eligibility,
            CapacityEstimator capacity,
            IdempotencyRules idempotency,
            OutlierDetector outliers) {
        this.context = context;
        this.registry = registry;
        this.eligibility = eligibility;
        this.capacity = capacity;
        this.idempotency = idempotency;
        this.outliers = outliers;
    }

    /** Schedules the first check of a job that was just sent, if it may be migrated. */
    void scheduleCheck(Job job) {
        if (context.settings().reportsJobStart()
                && context.settings().limits().mayCancel()
                && !job.hasAffinity()
                && !job.hasIdempotency(Idempotency.NOT_IDEMPOTENT)) {
            setCheckTimer(firstCheckDelayUs(job), job);
        }
    }

    private static long firstCheckDelayUs(Job job) {
        long slackFractionUs = (long) (FIRST_CHECK_SLACK_FRACTION * job.homePool().slackUs());
        return Math.max(CHECK_INTERVAL_US, slackFractionUs);
    }

    /** Updates the budget when a job has started. */
    void attemptStarted(JobAttempt attempt) {
        boolean prompt = context.nowUs() - attempt.sentUs() < CHECK_INTERVAL_US;
        double earned = prompt ? BUDGET_FOR_PROMPT_START : BUDGET_FOR_LATE_START;
        budget = Math.max(0, Math.min(MAX_BUDGET, budget + earned));
    }

    /**
     * Migrates the job if its attempt has not started and another worker has free slots, or else
     * schedules another check.
     */
    void check(Job job) {
        JobAttempt attempt = job.lastAttempt();
        if (!isCandidate(job, attempt)) {
            return;
        }
        if (budget >= 1 && idempotency.mayResendInsteadOf(attempt) && hasAlternative(attempt)) {
            outliers.recordFailure(attempt.worker());
            migrated++;
            budget--;
            context.emit(new Cancel(job.id(), job.attempts().size() - 1));
        } else {
            setCheckTimer(CHECK_INTERVAL_US, job);
        }
    }

    private void setCheckTimer(long delayUs, Job job) {
        context.setJobTimerAt(context.nowUs() + delayUs, TimerLabels.attemptStart(job.id()), job);
    }

    private boolean isCandidate(Job job, JobAttempt attempt) {
        Limits limits = context.settings().limits();
        return attempt.isOpen()
                && !attempt.isStarted()
                && job.outstanding() == 1
                && context.nowUs() - attempt.sentUs() >= firstCheckDelayUs(job)
                && job.attempts().size() < limits.maxAttempts()
                && job.possibleRuns() + 1 < job.maxRuns();
    }

    private boolean hasAlternative(JobAttempt attempt) {
        return registry.all().stream()
                .anyMatch(worker -> worker != attempt.worker() && isAlternative(worker, attempt));
    }

    private boolean isAlternative(Worker worker, JobAttempt attempt) {
        Job job = attempt.job();
        return eligibility.mayTake(worker, job)
                && capacity.freeSlots(worker) >= job.slots()
                && (!idempotency.isScoped(job.jobClass())
                        || idempotency.shareScope(job.jobClass(), worker, attempt.worker()));
    }

    /** How many attempts were cancelled. */
    int migrated() {
        return migrated;
    }
}
