package damsonslip.policy;

import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;

/**
 * Decides where and until when a job may be sent again after an attempt that may have run, so that
 * no job takes effect twice.
 */
final class IdempotencyRules {
    private final DecisionContext context;

    IdempotencyRules(DecisionContext context) {
        this.context = context;
    }

    /** Whether the job may be sent now. */
    boolean maySend(Job job) {
        return maySendAfter(job, job.firstPossibleRun());
    }

    /** Whether the job may be sent again now if this open attempt is cancelled. */
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

    /**
     * Whether a job of the class may be repeated only by workers that share idempotency keys with
     * the worker that may have run it first.
     */
    boolean isScoped(JobClass jobClass) {
        return jobClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                && jobClass.idempotencyScope() != IdempotencyScope.ALL_WORKERS;
    }

    /**
     * Whether the job may have run and has to be repeated by workers that share idempotency keys
     * with the worker that may have run it first.
     */
    boolean mustStayInScope(Job job) {
        return job.firstPossibleRun() != null && isScoped(job.jobClass());
    }

    /**
     * Whether these workers share idempotency keys, so that each drops repeats of what the other
     * ran; for classes that are {@link #isScoped}.
     */
    boolean shareScope(JobClass jobClass, Worker one, Worker other) {
        return jobClass.idempotencyScope() == IdempotencyScope.ZONE
                ? one.zone() == other.zone()
                : one.cell() == other.cell();
    }

    /** Whether the client may safely retry the job, through any scheduler. */
    boolean isSafeToRetryByClient(Job job) {
        JobClass jobClass = job.jobClass();
        boolean neverRan = job.firstPossibleRun() == null && job.outstanding() == 0;
        return neverRan
                || jobClass.idempotency() == Idempotency.IDEMPOTENT
                || (jobClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                        && jobClass.idempotencyScope() == IdempotencyScope.ALL_WORKERS);
    }
}
