package damsonslip.policy;

import java.util.ArrayList;
import java.util.List;

/** Sends the jobs of the admission queues, in order, to workers with free slots. */
final class QueueDispatcher {
    /**
     * Queues with jobs are retried at this interval, for capacity that came free without an event.
     */
    private static final long SWEEP_INTERVAL_US = 20_000;

    /**
     * Number of jobs at the head of a queue that may be skipped, since no worker can take them, to
     * try later ones.
     */
    private static final int MAX_SKIPPED_JOBS = 16;

    /**
     * A job without an affinity key waits for its home pool for this fraction of its latency
     * objective less the mean run time, before it borrows a worker.
     */
    private static final double BORROW_AFTER_FRACTION = 0.15;

    private final DecisionContext context;
    private final WorkerPools pools;
    private final WorkerAvailability availability;
    private final IdempotencyRules idempotency;
    private final WorkerSelector selector;
    private final SlotBorrowing borrowing;
    private final CandidateProbing candidates;
    private final LeaseProbing leases;
    private final AttemptSender sender;
    private final JobCompletion completion;
    private boolean sweepScheduled;

    QueueDispatcher(
            DecisionContext context,
            WorkerPools pools,
            WorkerAvailability availability,
            IdempotencyRules idempotency,
            WorkerSelector selector,
            SlotBorrowing borrowing,
            CandidateProbing candidates,
            LeaseProbing leases,
            AttemptSender sender,
            JobCompletion completion) {
        this.context = context;
        this.pools = pools;
        this.availability = availability;
        this.idempotency = idempotency;
        this.selector = selector;
        this.borrowing = borrowing;
        this.candidates = candidates;
        this.leases = leases;
        this.sender = sender;
        this.completion = completion;
    }

    /** Retries all queues; called when the sweep timer is due. */
    void sweep() {
        sweepScheduled = false;
        for (WorkerPool pool : pools.all()) {
            unblockAndDispatch(pool);
        }
    }

    /**
     * Retries the queue of this pool, after a change that may let its jobs be sent; does nothing
     * for null.
     */
    void unblockAndDispatch(WorkerPool pool) {
        if (pool != null) {
            pool.queue().setBlocked(false);
            dispatch(pool);
        }
    }

    /** Sends the jobs that can be sent now from every queue that is not blocked. */
    void dispatchAll() {
        for (WorkerPool pool : pools.all()) {
            dispatch(pool);
        }
    }

    /** Sends the jobs that can be sent now from this pool's queue, unless it is blocked. */
    void dispatch(WorkerPool pool) {
        AdmissionQueue queue = pool.queue();
        if (queue.isBlocked()) {
            return;
        }
        List<Job> waiting = new ArrayList<>(0);
        while (!queue.isEmpty() && waiting.size() <= MAX_SKIPPED_JOBS) {
            Job job = queue.poll();
            if (job.isQueued() && staysQueued(job)) {
                waiting.add(job);
            }
        }
        queue.putBack(waiting);
        queue.setBlocked(!waiting.isEmpty());
        scheduleSweep();
    }

    private void scheduleSweep() {
        if (!sweepScheduled && !pools.areQueuesEmpty()) {
            sweepScheduled = true;
            context.setTimerIn(SWEEP_INTERVAL_US, TimerLabels.SWEEP);
        }
    }

    /** Sends or answers a job and returns false, or returns true if the job has to wait. */
    private boolean staysQueued(Job job) {
        if (candidates.awaitsCandidates(job)) {
            return true;
        }
        boolean maySend = idempotency.maySend(job);
        Worker worker = maySend ? selectWorker(job) : null;
        if (worker != null) {
            job.setQueued(false);
            sender.send(job, worker);
            return false;
        }
        if (!maySend || !availability.mayWait() || wouldDelayLaterJobs(job)) {
            completion.answerUnserved(job);
            return false;
        }
        leases.probeFor(job);
        return true;
    }

    /**
     * Whether the job is late and others wait behind it. If late jobs kept their places in the
     * queue, all jobs behind them would become late as well.
     */
    private boolean wouldDelayLaterJobs(Job job) {
        return job.attempts().isEmpty()
                && !job.homePool().queue().isEmpty()
                && job.isLate(context.nowUs());
    }

    private Worker selectWorker(Job job) {
        if (idempotency.mustStayInScope(job)) {
            return selector.selectInScope(job);
        }
        boolean waited = job.waitedUs(context.nowUs()) >= preferredWorkersWaitUs(job);
        Worker candidate = selector.selectProbedCandidate(job);
        if (candidate != null) {
            return candidate;
        }
        Worker worker = selector.select(job.homePool(), job, waited);
        return worker == null && waited ? borrowing.borrow(job) : worker;
    }

    /**
     * How long a job waits for the workers that it prefers, those of its affinity key or its home
     * pool, before others are selected as well.
     */
    private static double preferredWorkersWaitUs(Job job) {
        WorkerPool pool = job.homePool();
        return job.hasAffinity()
                ? Job.LATE_SLACK_FRACTION * pool.slackUs()
                : BORROW_AFTER_FRACTION * (pool.objectiveUs() - pool.runTimes().meanUs());
    }
}
