package damsonslip.policy;

import damsonslip.policy.api.AttemptEnded;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.LoadReporting;

/**
 * Updates estimates and worker health at the end of an attempt, and retries, answers or ends its
 * job.
 */
final class AttemptResults {
    private final DecisionContext context;
    private final ActiveJobs jobs;
    private final LoadReportHandler loadReports;
    private final CapacityEstimator capacity;
    private final OutlierDetector outliers;
    private final IdempotencyRules idempotency;
    private final JobCompletion completion;

    AttemptResults(
            DecisionContext context,
            ActiveJobs jobs,
            LoadReportHandler loadReports,
            CapacityEstimator capacity,
            OutlierDetector outliers,
            IdempotencyRules idempotency,
            JobCompletion completion) {
        this.context = context;
        this.jobs = jobs;
        this.loadReports = loadReports;
        this.capacity = capacity;
        this.outliers = outliers;
        this.idempotency = idempotency;
        this.completion = completion;
    }

    /**
     * Handles the end of an open attempt. Its job may be in the admission queue again afterwards.
     */
    void attemptEnded(JobAttempt attempt, AttemptEnded event) {
        close(attempt, event);
        learnCapacity(attempt, event.outcome());
        outliers.attemptEnded(attempt.worker(), event.outcome());
        Job job = attempt.job();
        if (event.jobAnswered() && !job.isEnded()) {
            completion.end(job);
        } else if (!job.isEnded()) {
            retryOrAnswer(attempt, event.outcome());
        }
        jobs.removeIfFinished(job);
    }

    private void close(JobAttempt attempt, AttemptEnded event) {
        Job job = attempt.job();
        Worker worker = attempt.worker();
        attempt.close();
        job.attemptClosed();
        worker.outstanding().remove(attempt);
        worker.load().ownSlotsEnded(job.slots(), context.nowUs());
        AttemptOutcome outcome = event.outcome();
        if (outcome == AttemptOutcome.SERVED || outcome == AttemptOutcome.FULL) {
            worker.health().recordAlive(context.nowUs());
        }
        loadReports.accept(worker, event.report(), false);
        if (context.settings().loadReporting() == LoadReporting.NONE) {
            // with reports, memory counts as free again only when a report shows it
            worker.load().releaseMemory(job.memory());
        }
    }

    private void learnCapacity(JobAttempt attempt, AttemptOutcome outcome) {
        Worker worker = attempt.worker();
        switch (outcome) {
            case SERVED -> learnRunTime(attempt);
            case FULL -> capacity.recordFull(worker);
            case CANCELLED -> {
                if (context.settings().reportsJobStart() && capacity.isWaitingToStart(attempt)) {
                    capacity.recordFull(worker);
                }
            }
            case ERROR, TIMED_OUT, NOT_CONNECTED, RESET, NEVER_SENT -> {}
        }
    }

    private void learnRunTime(JobAttempt attempt) {
        Worker worker = attempt.worker();
        double runTimeUs = context.nowUs() - attempt.runningSinceUs();
        double ratio = attempt.job().homePool().runTimes().observe(worker, runTimeUs);
        worker.runTimeRatio().observe(ratio, context.nowUs());
    }

    private void retryOrAnswer(JobAttempt attempt, AttemptOutcome outcome) {
        Job job = attempt.job();
        if (!outcome.provesNotRun()) {
            job.recordPossibleRun(attempt);
        }
        if (job.outstanding() > 0) {
            return;
        }
        if (mayRetry(job)) {
            job.homePool().queue().add(job);
        } else {
            completion.answerUnserved(job);
        }
    }

    private boolean mayRetry(Job job) {
        long lastSendUs = job.deadlineUs() - context.settings().tickUs();
        return job.attempts().size() < context.settings().limits().maxAttempts()
                && idempotency.maySend(job)
                && context.nowUs() < lastSendUs;
    }
}
