package damsonslip.policy;

import damsonslip.policy.api.JobClass;
import java.util.Arrays;
import java.util.List;

/**
 * A job class and the workers dealt to it, with the estimates, the admission threshold and the
 * queue of the class.
 *
 * <p>Times are microseconds. Not safe for use by several threads.
 */
final class WorkerPool {
    /** Weight of a job in the mean number of slots per job. */
    private static final double SLOTS_PER_JOB_WEIGHT = 0.02;

    /** Load share until the load is measured; above 0. */
    private static final double INITIAL_LOAD_SHARE = 1e-6;

    private final JobClass jobClass;
    private final AdmissionQueue queue = new AdmissionQueue();
    private final ArrivalRate arrivalRate = new ArrivalRate();
    private final RunTimeEstimator runTimes;
    private final AffinityLoad affinityLoad = new AffinityLoad();
    private final FreeShareEstimate[][] warmFreeShares;
    private final FreeShareEstimate[][] slowStartFreeShares;
    private double slotsPerJob = 1;
    private double loadShare = INITIAL_LOAD_SHARE;
    private double slots;
    private int admissionShare = 1;
    private int jobsPresent;
    private List<Worker> members = List.of();
    private Worker[] ring = {};

    WorkerPool(JobClass jobClass, int kinds, int zones) {
        this.jobClass = jobClass;
        this.runTimes = new RunTimeEstimator(Math.max(jobClass.latencyObjectiveUs(), 1));
        this.warmFreeShares = estimates(kinds, zones);
        this.slowStartFreeShares = estimates(kinds, zones);
    }

    private static FreeShareEstimate[][] estimates(int kinds, int zones) {
        FreeShareEstimate[][] estimates = new FreeShareEstimate[kinds][zones];
        for (FreeShareEstimate[] ofKind : estimates) {
            Arrays.setAll(ofKind, zone -> new FreeShareEstimate());
        }
        return estimates;
    }

    JobClass jobClass() {
        return jobClass;
    }

    AdmissionQueue queue() {
        return queue;
    }

    ArrivalRate arrivalRate() {
        return arrivalRate;
    }

    RunTimeEstimator runTimes() {
        return runTimes;
    }

    AffinityLoad affinityLoad() {
        return affinityLoad;
    }

    /**
     * The estimate of the free share at the pool's workers of the same kind and zone as this one,
     * kept apart for workers that are warming up.
     */
    FreeShareEstimate freeShareEstimate(Worker worker, boolean warmingUp) {
        FreeShareEstimate[][] estimates = warmingUp ? slowStartFreeShares : warmFreeShares;
        return estimates[worker.kind()][worker.zone()];
    }

    /** Latency objective of a job with the mean run time. */
    double objectiveUs() {
        return jobClass.latencyObjectiveUs() + jobClass.runTimeFactor() * runTimes.meanUs();
    }

    /**
     * Slack: how long a job with the median run time may wait and still meet its objective. The
     * mean would be too long where run times have a long tail.
     */
    double slackUs() {
        return jobClass.latencyObjectiveUs()
                + (jobClass.runTimeFactor() - 1) * Math.min(runTimes.medianUs(), runTimes.meanUs());
    }

    /** Value that the class gains per slot and microsecond. */
    double valueOfSlot() {
        return jobClass.priorityWeight() / (runTimes.meanUs() * slotsPerJob);
    }

    /** Mean number of slots per job. */
    double slotsPerJob() {
        return slotsPerJob;
    }

    /** Adds a job to the mean number of slots per job. */
    void observeSlots(int jobSlots) {
        slotsPerJob += SLOTS_PER_JOB_WEIGHT * (jobSlots - slotsPerJob);
    }

    /** The share of the load of all classes by which the pool is sized. */
    double loadShare() {
        return loadShare;
    }

    void setLoadShare(double share) {
        loadShare = share;
    }

    /** Total slots of its workers. */
    double slots() {
        return slots;
    }

    /** Sets its slots to 0 before a new deal. */
    void clearSlots() {
        slots = 0;
    }

    /** Deals it a worker with this number of slots. */
    void deal(Worker worker, double workerSlots) {
        worker.assignTo(this);
        slots += workerSlots;
    }

    /** Its workers, by id within each kind and zone. */
    List<Worker> members() {
        return members;
    }

    /**
     * Its workers in the order of their points on the hash ring; each occurs once for each point.
     */
    Worker[] ring() {
        return ring;
    }

    /** Sets its workers and the number of points that each has on the hash ring. */
    void setMembers(List<Worker> workers, int pointsEach) {
        if (!workers.equals(members) || ring.length != workers.size() * pointsEach) {
            members = workers;
            ring = HashRing.of(workers, pointsEach);
        }
    }

    /** How many unanswered jobs of the class this scheduler admits: its share of the threshold. */
    int admissionShare() {
        return admissionShare;
    }

    void setAdmissionShare(int jobs) {
        admissionShare = jobs;
    }

    /** Unanswered jobs of the class at this scheduler. */
    int jobsPresent() {
        return jobsPresent;
    }

    void jobArrived() {
        jobsPresent++;
    }

    void jobEnded() {
        jobsPresent--;
    }
}
