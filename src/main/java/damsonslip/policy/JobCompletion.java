package damsonslip.policy;

import damsonslip.policy.api.Cancel;
import damsonslip.policy.api.Fail;
import damsonslip.policy.api.Reject;
import java.util.List;

/** Ends jobs: gives those that were not served a final answer, and cancels open attempts. */
final class JobCompletion {
    /**
     * Upper limit of the time that a client is asked to wait before a retry; the load will have
     * changed by then.
     */
    private static final double MAX_RETRY_AFTER_US = 10e6;

    private final DecisionContext context;
    private final ActiveJobs jobs;
    private final IdempotencyRules idempotency;
    private int unserved;

    JobCompletion(DecisionContext context, ActiveJobs jobs, IdempotencyRules idempotency) {
        this.context = context;
        this.jobs = jobs;
        this.idempotency = idempotency;
    }

    /**
     * Answers a job that was not served: rejects it if the client may safely retry it, else fails
     * it.
     */
    void answerUnserved(Job job) {
        unserved++;
        context.emit(
                idempotency.isSafeToRetryByClient(job)
                        ? new Reject(job.id(), retryAfterUs(job.homePool()))
                        : new Fail(job.id()));
        end(job);
    }

    /**
     * Estimated time until the pool has completed the jobs that exceed this scheduler's admission
     * share.
     */
    private long retryAfterUs(WorkerPool pool) {
        double jobsAtOnce = Math.max(1, pool.slots() / pool.slotsPerJob());
        double ownJobsAtOnce = jobsAtOnce / context.settings().schedulers();
        double excess = Math.max(1, pool.jobsPresent() - pool.admissionShare());
        return (long)
                Math.min(MAX_RETRY_AFTER_US, excess * pool.runTimes().meanUs() / ownJobsAtOnce);
    }

    /** Ends a job that needs no further answer. */
    void end(Job job) {
        job.end();
        job.homePool().jobEnded();
        if (context.settings().limits().mayCancel()) {
            cancelOpenAttempts(job);
        }
        jobs.removeIfFinished(job);
    }

    private void cancelOpenAttempts(Job job) {
        List<JobAttempt> attempts = job.attempts();
        for (int number = 0; number < attempts.size(); number++) {
            if (attempts.get(number).isOpen()) {
                context.emit(new Cancel(job.id(), number));
            }
        }
    }

    /** How many jobs were rejected or failed. */
    int unserved() {
        return unserved;
    }
}
