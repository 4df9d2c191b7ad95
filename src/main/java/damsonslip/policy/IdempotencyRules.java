package damsonslip.policy;

import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;

/** Where and until when a job may be sent again after an attempt that may have run (rule 2). */
final class IdempotencyRules {
    private final DecisionContext context;

    IdempotencyRules(DecisionContext context) {
        this.context = context;
    }

    /** Whether the job may be sent now. */
    boolean maySend(Job job) {
        return maySendAfter(job, job.firstPossibleRun());
    }

    /** Whether the job may be sent again now if this attempt, which is open, is cancelled. */
    boolean mayResendInsteadOf(JobAttempt attempt) {
        Job job = attempt.job();
        JobAttempt first = job.firstPossibleRun();
        return maySendAfter(job, first == null ? attempt : first);
    }

    private boolean maySendAfter(Job job, JobAttempt firstPossibleRun) {
        if (firstPossibleRun == null) {
            return true;
        }
        if (job.possibleRuns() >= job.maxRuns()) {
            return false;
        }
        JobClass jobClass = job.jobClass();
        return switch (jobClass.idempotency()) {
            case IDEMPOTENT -> true;
            case IDEMPOTENT_WITH_KEY ->
                    context.nowUs() + context.settings().tickUs()
                            < firstPossibleRun.sentUs() + jobClass.idempotencyWindowUs();
            case NOT_IDEMPOTENT -> false;
        };
    }

    /** Whether only the workers that share an earlier attempt's idempotency key may repeat it. */
    boolean isScoped(JobClass jobClass) {
        return jobClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                && jobClass.idempotencyScope() != IdempotencyScope.ALL_WORKERS;
    }

    /** Whether the job has to be repeated at workers that share its first attempt's key. */
    boolean mustStayInScope(Job job) {
        return job.firstPossibleRun() != null && isScoped(job.jobClass());
    }

    /** Whether these workers drop each other's repeats of a class that {@link #isScoped}. */
    boolean shareScope(JobClass jobClass, Worker one, Worker other) {
        return jobClass.idempotencyScope() == IdempotencyScope.ZONE
                ? one.zone() == other.zone()
                : one.cell() == other.cell();
    }

    /** Whether the client may try the job again without risk, by whatever scheduler. */
    boolean isSafeToRetryByClient(Job job) {
        JobClass jobClass = job.jobClass();
        boolean neverRan = job.firstPossibleRun() == null && job.outstanding() == 0;
        return neverRan
                || jobClass.idempotency() == Idempotency.IDEMPOTENT
                || (jobClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && jobClass.idempotencyScope() == IdempotencyScope.ALL_WORKERS);
    }
}
