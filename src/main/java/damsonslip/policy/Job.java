package damsonslip.policy;

import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.JobArrived;
import damsonslip.policy.api.JobClass;
import java.util.ArrayList;
import java.util.List;

/**
 * A job from its arrival until it is answered and its last attempt has ended. Jobs sort by arrival.
 *
 * <p>Times are microseconds of the events' clock. Not safe for use by several threads.
 */
final class Job implements Comparable<Job> {
    /**
     * A job counts as late when it has waited for this fraction of its {@link WorkerPool#slackUs
     * slack}.
     */
    static final double LATE_SLACK_FRACTION = 0.3;

    private final JobArrived request;
    private final WorkerPool homePool;
    private final long arrivedUs;
    private final long arrivalOrder;
    private final int affinityWorkers;
    private final List<JobAttempt> attempts = new ArrayList<>(1);
    private int outstanding;
    private int possibleRuns;
    private JobAttempt firstPossibleRun;
    private boolean ended;
    private boolean queued;
    private Worker leaseCandidate;
    private List<Worker> probedCandidates = List.of();
    private long candidatesAwaitedUntilUs = Long.MIN_VALUE;

    /**
     * Creates a job that has not been sent yet.
     *
     * @param homePool the pool of its class
     * @param arrivalOrder its position in the order of arrival
     * @param affinityWorkers how many workers the load of its affinity key needs
     */
    Job(
            JobArrived request,
            WorkerPool homePool,
            long arrivedUs,
            long arrivalOrder,
            int affinityWorkers) {
        this.request = request;
        this.homePool = homePool;
        this.arrivedUs = arrivedUs;
        this.arrivalOrder = arrivalOrder;
        this.affinityWorkers = affinityWorkers;
    }

    String id() {
        return request.job();
    }

    int tenant() {
        return request.tenant();
    }

    int slots() {
        return request.slots();
    }

    double memory() {
        return request.memory();
    }

    /** Its affinity key, or null if it has none. */
    Long affinityKey() {
        return request.affinityKey();
    }

    boolean hasAffinity() {
        return request.affinityKey() != null;
    }

    int affinityWorkers() {
        return affinityWorkers;
    }

    long deadlineUs() {
        return request.deadlineUs();
    }

    /** Maximum number of attempts that may have run; at this number it is not retried. */
    int maxRuns() {
        return request.maxRuns();
    }

    boolean isEligible(Worker worker) {
        return request.isEligible(worker.id());
    }

    /** Whether only some workers are eligible. */
    boolean restrictsWorkers() {
        return request.eligibleWorkers() != null;
    }

    WorkerPool homePool() {
        return homePool;
    }

    JobClass jobClass() {
        return homePool.jobClass();
    }

    boolean hasIdempotency(Idempotency idempotency) {
        return jobClass().idempotency() == idempotency;
    }

    long arrivedUs() {
        return arrivedUs;
    }

    long waitedUs(long nowUs) {
        return nowUs - arrivedUs;
    }

    /** Whether it has waited so long that it will probably miss its latency objective. */
    boolean isLate(long nowUs) {
        return waitedUs(nowUs) > LATE_SLACK_FRACTION * homePool.slackUs();
    }

    /** Its attempts by number. */
    List<JobAttempt> attempts() {
        return attempts;
    }

    JobAttempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** How many attempts have not ended. */
    int outstanding() {
        return outstanding;
    }

    void attemptSent(JobAttempt attempt) {
        attempts.add(attempt);
        outstanding++;
    }

    void attemptClosed() {
        outstanding--;
    }

    /** How many of the ended attempts may have run. */
    int possibleRuns() {
        return possibleRuns;
    }

    /** The first attempt to end that may have run, or null. */
    JobAttempt firstPossibleRun() {
        return firstPossibleRun;
    }

    /** Records that this attempt has ended and may have run. */
    void recordPossibleRun(JobAttempt attempt) {
        possibleRuns++;
        if (firstPossibleRun == null) {
            firstPossibleRun = attempt;
        }
    }

    /** Whether it has its final answer. */
    boolean isEnded() {
        return ended;
    }

    void end() {
        ended = true;
        queued = false;
    }

    /** Whether it waits in the admission queue. */
    boolean isQueued() {
        return queued;
    }

    void setQueued(boolean queued) {
        this.queued = queued;
    }

    /** The worker that was last probed for a lease on its behalf, or null. */
    Worker leaseCandidate() {
        return leaseCandidate;
    }

    void setLeaseCandidate(Worker worker) {
        leaseCandidate = worker;
    }

    /** The workers whose load was probed for it. */
    List<Worker> probedCandidates() {
        return probedCandidates;
    }

    /** Whether workers were probed for it, even if there were none to probe. */
    boolean hasProbedCandidates() {
        return candidatesAwaitedUntilUs != Long.MIN_VALUE;
    }

    /** Until when it waits for their load reports. */
    long candidatesAwaitedUntilUs() {
        return candidatesAwaitedUntilUs;
    }

    void setProbedCandidates(List<Worker> candidates, long awaitedUntilUs) {
        probedCandidates = candidates;
        candidatesAwaitedUntilUs = awaitedUntilUs;
    }

    @Override
    public int compareTo(Job other) {
        return Long.compare(arrivalOrder, other.arrivalOrder);
    }
}
