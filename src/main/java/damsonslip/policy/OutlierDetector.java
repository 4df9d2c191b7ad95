package damsonslip.policy;

import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.LoadReport;

/**
 * Detects workers that fail, are silent or are slow, and pauses those that fail, with exponential
 * backoff and jitter.
 */
final class OutlierDetector {
    /** Mean pause of a worker that rejected a job as full; ends early if it reports a free slot. */
    private static final long FULL_PAUSE_US = 60_000;

    /** Mean pause after a first failure; doubles with each further failure in a row. */
    private static final long FAILURE_PAUSE_US = 250_000;

    private static final int MAX_PAUSE_DOUBLINGS = 5;

    /**
     * A worker that has answered this recently counts as alive even if a connection to it is reset.
     */
    private static final long ALIVE_US = 500_000;

    /**
     * A job that is not idempotent is sent to an outlier only this long after the worker's pause
     * ended.
     */
    private static final long NON_IDEMPOTENT_HOLD_OFF_US = 4_000_000;

    /** A worker with this many failures in a row is an outlier. */
    private static final int OUTLIER_FAILURES = 2;

    /** A worker that reports more errors a second is failing; occasional errors are normal. */
    private static final double MAX_ERRORS_PER_SECOND = 1;

    /**
     * Up to this many failed jobs in a row are taken to be the jobs' own fault, at a worker that
     * fetches jobs.
     */
    private static final int MAX_FAILED_JOBS = 3;

    /**
     * A worker is silent if it has not answered since its oldest outstanding job was sent, more
     * than this many mean run times ago.
     */
    private static final double SILENT_RUN_TIMES = 4;

    /** A worker is slow if its jobs take this many times as long as usual. */
    private static final double SLOW_RUN_TIME_RATIO = 2.2;

    private final DecisionContext context;
    private final WorkerRegistry registry;

    OutlierDetector(DecisionContext context, WorkerRegistry registry) {
        this.context = context;
        this.registry = registry;
    }

    /**
     * Learns from a load report. The errors that it shows count, whichever scheduler sent the jobs.
     */
    void acceptReport(Worker worker, LoadReport report) {
        WorkerHealth health = worker.health();
        if (report.totalSlots() > 0) {
            // the report of a worker that fetches jobs shows that it is alive, however long its
            // jobs take
            health.recordAlive(context.nowUs());
        }
        boolean failing = report.errorsPerSecond() > MAX_ERRORS_PER_SECOND;
        health.setReportsErrors(failing);
        if (failing) {
            // with the failure counted below, the worker becomes an outlier at once: jobs that are
            // not idempotent must not be used to test whether it has recovered
            health.recordAtLeastOneFailure();
            recordFailure(worker);
        } else if (report.freeSlots() >= 1) {
            health.resumeUnlessFailed();
        }
    }

    /** Learns from the end of an attempt. */
    void attemptEnded(Worker worker, AttemptOutcome outcome) {
        switch (outcome) {
            case SERVED -> worker.health().recordServed();
            case FULL -> pauseFull(worker);
            // errors count as failures: a worker that fails every job at once has free slots and
            // would attract most jobs
            case ERROR -> jobFailed(worker);
            case NOT_CONNECTED, TIMED_OUT -> {
                recordFailure(worker);
                worker.lease().connectionFailed(context.nowUs());
            }
            case RESET -> connectionReset(worker);
            case CANCELLED, NEVER_SENT -> {}
        }
    }

    private void pauseFull(Worker worker) {
        long pauseUs = FULL_PAUSE_US / 2 + context.random().nextLong(FULL_PAUSE_US);
        worker.health().pauseAtLeastUntil(context.nowUs() + pauseUs);
    }

    /**
     * At a worker that fetches jobs, a few failed jobs say nothing about the worker, which goes on
     * to fetch the next.
     */
    private void jobFailed(Worker worker) {
        boolean workerAtFault =
                !worker.load().statesTotalSlots()
                        || worker.health().countFailedJob() > MAX_FAILED_JOBS;
        if (workerAtFault) {
            recordFailure(worker);
        }
    }

    /**
     * A reset connection says little about a worker that has just answered on other connections.
     */
    private void connectionReset(Worker worker) {
        worker.lease().connectionFailed(context.nowUs());
        WorkerHealth health = worker.health();
        boolean alive = context.nowUs() - health.lastAliveUs() <= ALIVE_US;
        if (!alive || health.consecutiveFailures() > 0) {
            recordFailure(worker);
        }
    }

    /**
     * Counts a failure and pauses the worker. Failures during a pause are taken for the same one.
     */
    void recordFailure(Worker worker) {
        WorkerHealth health = worker.health();
        if (!health.isPaused(context.nowUs())) {
            int doublings = Math.min(health.countFailure(), MAX_PAUSE_DOUBLINGS);
            long pauseUs = FAILURE_PAUSE_US << doublings;
            health.pauseUntil(context.nowUs() + pauseUs / 2 + context.random().nextLong(pauseUs));
        }
    }

    /** Whether a worker accepts jobs and answers none. */
    boolean isSilent(Worker worker) {
        if (worker.outstanding().isEmpty()) {
            return false;
        }
        JobAttempt first = worker.outstanding().get(0);
        double runTimeUs = first.job().homePool().runTimes().meanUs();
        return worker.health().lastAliveUs() <= first.sentUs()
                && context.nowUs() - first.sentUs() > SILENT_RUN_TIMES * runTimeUs;
    }

    /** Whether jobs take much longer at a worker than elsewhere. */
    boolean isSlow(Worker worker) {
        return worker.runTimeRatio().at(context.nowUs()) > SLOW_RUN_TIME_RATIO;
    }

    /**
     * Whether the job may be sent to the worker in spite of the worker's recent failures. Outliers
     * get only idempotent jobs until some time after their pause, unless all running workers are
     * outliers.
     */
    boolean allowsJob(Worker worker, Job job) {
        return !isOutlier(worker)
                || job.hasIdempotency(Idempotency.IDEMPOTENT)
                || context.nowUs() > worker.health().pausedUntilUs() + NON_IDEMPOTENT_HOLD_OFF_US
                || registry.all().stream()
                        .noneMatch(other -> other.isRunning() && !isOutlier(other));
    }

    private static boolean isOutlier(Worker worker) {
        return worker.health().consecutiveFailures() >= OUTLIER_FAILURES;
    }
}
